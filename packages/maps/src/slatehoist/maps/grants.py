"""Grants: permissions for a coordinator to arm its own rank during a switch.

The coordinator's agent requests a grant from the agent of the holder, the rank at which
the group is held; see `switch` for the protocol. The holder's agent records what it
granted. If it later settles the switch and has granted nothing, it knows that the
coordinator's rank is not armed, even if that rank is unreachable.

The record is lost when the agent ends, so an agent knows nothing of its predecessor's
grants but what the first report of its rank shows. A grant has been given only while
the rank was held and armed for that switch, and takes effect until the pass begins. A
switch that has ended well leaves the rank armed, and an order that is carried out late
may hold it again. So the predecessor may have granted, or may have refused, each switch
at which the rank was held or armed when it was first seen. For any later pass the rank
was not armed yet, or was disarmed because the coordinator's rank could no longer become
armed.
"""

import asyncio
import logging
from collections.abc import Callable

from slatehoist.maps.peers import (
    Address,
    GrantRequest,
    GrantResponse,
    Group,
    Message,
    PeerState,
)
from slatehoist.maps.rank import RankClient, RankReport, RankUnreachableError
from slatehoist.maps.switch import may_grant

log = logging.getLogger(__name__)

#: Seconds between retries of a grant request. A response takes some milliseconds, and
#: the group is held until it arrives.
GRANT_RETRY_INTERVAL_S = 0.03


class Grants:
    """Request grants as a coordinator, and respond to requests as a holder's agent.

    Parameters
    ----------
    own_client : RankClient
        Client of the rank on this instance.
    send : callable
        Sends a message to an agent.
    """

    def __init__(
        self,
        own_client: RankClient,
        group: Group,
        send: Callable[[Message, Address], None],
        clock: Callable[[], float],
    ) -> None:
        self._own_client = own_client
        self._group = group
        self._send = send
        self._clock = clock
        self._pending: dict[tuple[int, int], asyncio.Future] = {}
        self._tasks: set[asyncio.Task] = set()
        #: Version and step that this agent last granted.
        self.granted: tuple[int, int] | None = None
        #: Epoch and newest pass for which this agent or its predecessor may have given
        #: a grant; None until the own rank was seen.
        self._granted_until: tuple[int, int] | None = None
        #: Epoch and newest pass for which no grants are given any more.
        self._denied_until: tuple[int, int] | None = None
        #: True while this agent settles a switch; it makes no new grants meanwhile.
        self.settling = False

    def record_report(self, report: RankReport) -> None:
        """Record a report of the own rank; only the first one counts."""
        if self._granted_until is None:
            armed_step = report.armed.step if report.armed else 0
            step = max(report.held or 0, armed_step)
            self._granted_until = self._denied_until = report.epoch, step

    def may_have_granted(self, epoch: int, step: int) -> bool:
        """Return True if this agent or its predecessor may have granted a switch.

        Only the newest pass is kept for which that may be so. It counts for earlier
        passes, too: these are held again by orders that are carried out late.

        Parameters
        ----------
        step : int
            Pass that is held for the switch.
        """
        return self._granted_until is None or (epoch, step) <= self._granted_until

    def deny(self, epoch: int, step: int) -> None:
        """Give no grants for a pass any more, since a settlement relies on that.

        The settlement may be interrupted, and others may then be begun.
        """
        self._denied_until = max(self._denied_until, (epoch, step))

    def handle_message(
        self, message: GrantRequest | GrantResponse, sender: Address
    ) -> None:
        """Respond to a grant request, or complete the pending one that is answered."""
        if isinstance(message, GrantRequest):
            task = asyncio.create_task(self._respond(message, sender))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            return
        fut = self._pending.get((message.version, message.step))
        if fut is not None and not fut.done():
            fut.set_result(message.granted)

    async def _respond(self, request: GrantRequest, sender: Address) -> None:
        """Allow or forbid a coordinator to arm the coordinator's rank.

        The holder, which is the rank on this instance, must hold the requested step and
        be armed for the requested version. This is checked in a new report, since the
        last known one may be older than a settlement. `settling` is checked again after
        the report has arrived, since a settlement may begin meanwhile. A repeated
        request gets the same grant.
        """
        key = (request.version, request.step)
        granted = key == self.granted
        if not granted:
            try:
                report = await self._own_client.report()
            except RankUnreachableError as exc:
                log.warning("grant_not_answered", extra={"why": str(exc)})
                return
            self.record_report(report)
            pass_id = report.epoch, request.step
            is_denied = self.settling or pass_id <= self._denied_until
            granted = may_grant(report, *key) and not is_denied
            if granted:
                self.granted = key
                self._granted_until = max(self._granted_until, pass_id)
        log.info(
            "grant_decided",
            extra={"version": key[0], "step": key[1], "granted": granted},
        )
        self._send(GrantResponse(*key, granted), sender)

    async def request(
        self,
        own_state: PeerState,
        holder: int,
        agent_address: Address,
        version: int,
        step: int,
    ) -> bool:
        """Request a grant from the holder's agent, with retries.

        Return False if that agent refuses, or if its heartbeats stop before it
        responds. No grant is needed if the own rank is the holder.
        """
        key = (version, step)
        if holder == own_state.rank:
            return True
        request = GrantRequest(own_state.group, own_state.rank, version, step)
        fut = self._pending[key] = asyncio.get_running_loop().create_future()
        try:
            while True:
                self._send(request, agent_address)
                await asyncio.wait([fut], timeout=GRANT_RETRY_INTERVAL_S)
                if fut.done():
                    return fut.result()
                if not self._group.is_alive(holder, self._clock()):
                    return False
        finally:
            del self._pending[key]
