"""Grants by which the agent of a holding rank lets a coordinator arm its own rank."""

import asyncio
import logging
from collections.abc import Callable

from slatehoist.maps.peers import (
    Address,
    GrantAnswer,
    GrantQuestion,
    Group,
    Message,
    PeerState,
)
from slatehoist.maps.rank import RankClient, RankUnreachableError
from slatehoist.maps.switch import may_grant

log = logging.getLogger(__name__)

#: Seconds between repeats of a question for a grant; an answer takes some milliseconds
#: and the group stands still meanwhile.
GRANT_RETRY_S = 0.03


class Grants:
    """Questions for grants, asked and answered.

    Parameters
    ----------
    own : RankClient
        Rank on this machine.
    send : callable
        Sends a message to an agent.
    """

    def __init__(
        self,
        own: RankClient,
        group: Group,
        send: Callable[[Message, Address], None],
        clock: Callable[[], float],
    ) -> None:
        self._own = own
        self._group = group
        self._send = send
        self._clock = clock
        self._asked: dict[tuple[int, int], asyncio.Future] = {}
        self._tasks: set[asyncio.Task] = set()
        #: Version and step that were last granted.
        self.granted: tuple[int, int] | None = None
        #: Whether this agent settles a switch, and so grants nothing.
        self.settling = False

    def take(self, message: GrantQuestion | GrantAnswer, sender: Address) -> None:
        """Take in a question or an answer."""
        if isinstance(message, GrantQuestion):
            task = asyncio.create_task(self._answer(message, sender))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            return
        fut = self._asked.get((message.version, message.step))
        if fut is not None and not fut.done():
            fut.set_result(message.granted)

    async def _answer(self, question: GrantQuestion, sender: Address) -> None:
        """Grant a coordinator to arm its own rank, if this rank waits for that.

        The own rank is asked anew: it must hold the group for that very switch, and
        nobody must be settling it.
        """
        key = (question.version, question.step)
        granted = key == self.granted
        if not granted and not self.settling:
            try:
                report = await self._own.report()
            except RankUnreachableError as exc:
                log.warning("grant_not_answered", extra={"why": str(exc)})
                return
            granted = may_grant(report, *key) and not self.settling
            if granted:
                self.granted = key
        log.info("grant", extra={"version": key[0], "step": key[1], "granted": granted})
        self._send(GrantAnswer(*key, granted), sender)

    async def ask(
        self, own: PeerState, holder: int, agent: Address, version: int, step: int
    ) -> bool:
        """Ask the holding rank's agent until it answers or is silent."""
        key = (version, step)
        if holder == own.rank:
            return True
        question = GrantQuestion(own.group, own.rank, version, step)
        fut = self._asked[key] = asyncio.get_running_loop().create_future()
        try:
            while True:
                self._send(question, agent)
                await asyncio.wait([fut], timeout=GRANT_RETRY_S)
                if fut.done():
                    return fut.result()
                if not self._group.is_alive(holder, self._clock()):
                    return False
        finally:
            del self._asked[key]
