"""Grants: permissions for a coordinator to arm its own rank during a switch.

The coordinator's agent requests a grant from the agent of the holder, the rank at which
the group is held; see `switch` for the protocol. The holder's agent records what it
granted. If it later settles the switch and has granted nothing, it knows that the
coordinator's rank is not armed, even if that rank is unreachable.

The record is lost when the agent ends. An agent that finds its rank held when it starts
therefore assumes that its predecessor has granted the switch. If the rank is not held,
the predecessor's grants are of no effect any more: their switches have ended.
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
        #: Epoch and step at which the own rank was held when it was first seen; the
        #: step is None if it was not held. None before.
        self._first_hold: tuple[int, int | None] | None = None
        #: Version and step that this agent began to undo, and never grants any more.
        self._denied: tuple[int, int] | None = None
        #: True while this agent settles a switch; it makes no new grants meanwhile.
        self.settling = False

    def record_report(self, report: RankReport) -> None:
        """Record a report of the own rank; only the first one counts."""
        if self._first_hold is None:
            self._first_hold = (report.epoch, report.held)

    def may_have_granted(self, epoch: int, version: int, step: int) -> bool:
        """Return True if this agent or its predecessor may have granted a switch."""
        return (version, step) == self.granted or (epoch, step) == self._first_hold

    def deny(self, version: int, step: int) -> None:
        """Grant a switch never any more, since its settlement relies on that.

        The settlement may be interrupted, and others may then be begun.
        """
        self._denied = (version, step)

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
        if not granted and not self._forbids(key):
            try:
                report = await self._own_client.report()
            except RankUnreachableError as exc:
                log.warning("grant_not_answered", extra={"why": str(exc)})
                return
            granted = may_grant(report, *key) and not self._forbids(key)
            if granted:
                self.granted = key
        log.info(
            "grant_decided",
            extra={"version": key[0], "step": key[1], "granted": granted},
        )
        self._send(GrantResponse(*key, granted), sender)

    def _forbids(self, key: tuple[int, int]) -> bool:
        return self.settling or key == self._denied

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
