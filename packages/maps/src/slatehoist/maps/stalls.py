"""Log lines that say why a group with requests begins no pass.

The line of any one agent names what it knows to delay the group: ranks that hold the
next pass, that are silent, or that use another map or epoch, and orders of this agent
that ranks have not answered.
"""

import logging
from collections.abc import Mapping

from slatehoist.maps.peers import Group, PeerState

log = logging.getLogger(__name__)

#: Seconds without a new pass, although requests run or wait, after which a group counts
#: as stalled: several passes of an overloaded group.
STALL_LOG_S = 2.0
#: Seconds between two lines while a stall lasts.
REPEAT_LOG_S = 10.0
#: Ranks of each kind that a line names.
MAX_NAMED_RANKS = 16


class StallLog:
    """Log the begin, the continuation and the end of a stall."""

    def __init__(self, group: Group) -> None:
        self._group = group
        #: Last pass of the own rank, and when it was first seen with requests.
        self._last_pass: tuple[int, float] | None = None
        self._logged_at: float | None = None

    def observe(
        self, own: PeerState | None, unanswered: Mapping[int, int], now: float
    ) -> None:
        """Log a stall if one begins, lasts or ends.

        Parameters
        ----------
        own : PeerState or None
            State of the rank on this instance; None while it is unreachable.
        unanswered : mapping of int to int
            Orders in a row that a rank has not answered, by rank.
        """
        is_busy = own is not None and (own.running or own.waiting)
        if not is_busy:
            self._end(now)
            self._last_pass = None
            return
        if self._last_pass is None or self._last_pass[0] != own.step:
            self._end(now)
            self._last_pass = (own.step, now)
            return
        stalled_s = now - self._last_pass[1]
        if stalled_s < STALL_LOG_S:
            return
        if self._logged_at is not None and now - self._logged_at < REPEAT_LOG_S:
            return
        self._logged_at = now
        log.warning(
            "group_stalled",
            extra={
                "step": own.step,
                "for_ms": round(stalled_s * 1000),
                **self._causes(own, unanswered, now),
            },
        )

    def _end(self, now: float) -> None:
        if self._logged_at is None:
            return
        self._logged_at = None
        since = self._last_pass[1]
        log.info("group_resumed", extra={"after_ms": round((now - since) * 1000)})

    def _causes(
        self, own: PeerState, unanswered: Mapping[int, int], now: float
    ) -> dict[str, object]:
        """Return what is known to delay the group, as log fields.

        The ranks whose agents this agent does not hear are `silent`. Only the leader
        and the ranks that lead next hear all others.
        """
        group = self._group
        states = group.fresh_states(now)
        silent = [r for r in range(group.size) if not group.is_alive(r, now)]
        no_address = [r for r in silent if group.address(r) is None]
        return {
            "open": own.is_open,
            "leader": group.leader(now),
            "held": {s.rank: s.held for s in states if s.held is not None},
            "armed": [s.rank for s in states if s.armed is not None][:MAX_NAMED_RANKS],
            "epochs": sorted({s.epoch for s in states}),
            "versions": sorted({s.map_version for s in states}),
            "silent": silent[:MAX_NAMED_RANKS],
            "silent_ranks": len(silent),
            "no_address": no_address[:MAX_NAMED_RANKS],
            "unanswered": dict(sorted(unanswered.items())[:MAX_NAMED_RANKS]),
        }
