"""Links to the sidecars of one group, opened on demand."""

import asyncio
import contextlib
from collections.abc import Callable

from slatehoist.config import Kind, Replica
from slatehoist.storage import Instance, InstanceList, PlatformError
from slatehoist.wire import Link, LinkDownError
from slatehoist.wire.messages import (
    Heartbeat,
    MapOrder,
    MapReply,
    RanksAnswer,
    RanksQuestion,
)

#: Timeout for the reply to one order, in seconds.
ORDER_TIMEOUT_S = 2.0
#: Timeout for opening a link and asking the sidecar for its ranks, in seconds.
CONNECT_TIMEOUT_S = 2.0


class LinkedRank:
    """Rank that is reached over a link; implements `RankPeer`."""

    def __init__(self, link: Link) -> None:
        self._link = link

    async def order(self, order: MapOrder) -> MapReply:
        """Send an order and return the reply; see `RankPeer`."""
        return await self._link.ask("map_order", order, MapReply, ORDER_TIMEOUT_S)


class GroupPeers:
    """Links to the sidecars that host the ranks of one group, including this one.

    Parameters
    ----------
    heartbeat : callable
        Returns the heartbeat that the links send.
    clock : callable
        Monotonic clock, in seconds.
    """

    def __init__(
        self,
        group: str,
        instances: InstanceList,
        replica: Replica,
        heartbeat: Callable[[], Heartbeat],
        clock: Callable[[], float],
    ) -> None:
        self.group = group
        self._instances = instances
        self._replica = replica
        self._heartbeat = heartbeat
        self._clock = clock
        self._links: dict[str, Link] = {}
        self._known_instances: list[Instance] = []

    async def connect(self) -> list[LinkedRank]:
        """Return a connection to every rank of the group, ordered by index.

        Raises
        ------
        LinkDownError
            If the group is not declared or a rank cannot be reached.
        """
        spec = self._replica.spec(Kind.GROUP, self.group)
        if spec is None:
            raise LinkDownError(f"group {self.group!r} is not declared")
        await self._update_links()
        answers = await asyncio.gather(
            *(self._ask_ranks(link) for link in self._links.values())
        )
        ranks: dict[int, LinkedRank] = {}
        for link, indexes in zip(self._links.values(), answers, strict=True):
            ranks.update(dict.fromkeys(indexes, LinkedRank(link)))
        missing = sorted(set(range(spec.ranks)) - ranks.keys())
        if missing:
            raise LinkDownError(
                f"ranks {missing} of group {self.group!r} cannot be reached"
            )
        return [ranks[index] for index in range(spec.ranks)]

    async def close(self) -> None:
        """Close all links."""
        while self._links:
            _, link = self._links.popitem()
            await link.close()

    async def _update_links(self) -> None:
        """Open and close links to match the instance list.

        If the list cannot be read, the previous one is used.
        """
        with contextlib.suppress(PlatformError):
            self._known_instances = await self._instances.list()
        wanted = {i.control for i in self._known_instances if self._hosts_group(i)}
        for control in self._links.keys() - wanted:
            await self._links.pop(control).close()
        for control in wanted - self._links.keys():
            self._links[control] = link = Link(control, self._heartbeat, self._clock)
            link.start()

    def _hosts_group(self, instance: Instance) -> bool:
        spec = self._replica.spec(Kind.ENDPOINT, instance.endpoint)
        return spec is not None and spec.group == self.group

    async def _ask_ranks(self, link: Link) -> list[int]:
        question = RanksQuestion(self.group)
        end = self._clock() + CONNECT_TIMEOUT_S
        while self._clock() < end:
            try:
                answer = await link.ask("ranks", question, RanksAnswer)
            except LinkDownError:
                await asyncio.sleep(0.05)
                continue
            return answer.ranks
        return []
