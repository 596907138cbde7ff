"""Ranks on this sidecar's instance: orders to their engine, and overdue arms.

An arm is a rank's promise not to begin a step until the switch of expert maps at that
step is committed or aborted; see `slatehoist.coord.gates`.
"""

import asyncio
import logging
from collections.abc import Callable

import aiohttp
import msgspec

from slatehoist.config.settings import RankSettings
from slatehoist.coord import RankGate, RankState, RankUnreachableError, settle_arm
from slatehoist.daemon.background import Background
from slatehoist.daemon.sidecar.peers import GroupPeers
from slatehoist.http import log_rejected, read_body
from slatehoist.storage import PlatformError, WeightStore
from slatehoist.wire import LinkDownError, decode
from slatehoist.wire.messages import MapOrder, MapReply, RanksAnswer, RanksQuestion

log = logging.getLogger(__name__)

#: Timeout for one request to a rank's engine, in seconds.
ORDER_TIMEOUT_S = 1.0
#: Largest answer of a rank's engine, in bytes.
MAX_ANSWER_BYTES = 64 * 1024
#: Seconds that a rank may be held before an armed step. After that its sidecar settles
#: the arm, because the coordinator may have crashed.
ARM_TIMEOUT_S = 1.0


class EngineRank:
    """Send orders to one rank's engine over HTTP; implements `Rank`.

    `load` fetches the weights of the experts that are new on the rank from the
    platform's rate-limited store, in the background. Until that is done, the engine
    does not report the epoch as loaded.
    """

    def __init__(
        self,
        cfg: RankSettings,
        session: aiohttp.ClientSession,
        weights: WeightStore,
        background: Background,
    ) -> None:
        self._url = f"{cfg.url.rstrip('/')}/ranks/{cfg.rank}"
        self._index = cfg.rank
        self._session = session
        self._weights = weights
        self._background = background
        self._timeout = aiohttp.ClientTimeout(total=ORDER_TIMEOUT_S)
        self._loaded_experts: set[tuple[int, int]] = set()
        self._load_tasks: dict[int, asyncio.Task] = {}

    async def state(self) -> RankState:
        """Return the engine's state; see `Rank`."""
        return RankState(**await self._call("GET", "/state"))

    async def load(self, epoch: int, placement: bytes, fence: int) -> None:
        """Begin to load an epoch; see `Rank`."""
        task = self._load_tasks.get(epoch)
        if task is None or (task.done() and task.exception() is not None):
            fetch = self._fetch_and_load(epoch, placement, fence)
            self._load_tasks[epoch] = self._background.spawn(fetch)

    async def hold(self, step: int, fence: int) -> bool:
        """Stop before a step; see `Rank`."""
        return await self._send_order("hold", fence, step=step)

    async def switch(self, epoch: int, step: int, fence: int) -> None:
        """Use an epoch's map from a step on; see `Rank`."""
        await self._send_order("switch", fence, epoch=epoch, step=step)

    async def release(self, step: int, fence: int) -> None:
        """Release a hold; see `Rank`."""
        await self._send_order("release", fence, step=step)

    async def drop(self, epoch: int, fence: int) -> None:
        """Unload an epoch's map; see `Rank`."""
        self._load_tasks.pop(epoch, None)
        await self._send_order("drop", fence, epoch=epoch)

    async def _fetch_and_load(self, epoch: int, placement: bytes, fence: int) -> None:
        layers = msgspec.json.decode(placement, type=list[list[list[int]]])
        wanted = {
            (layer, expert)
            for layer, ranks in enumerate(layers)
            for expert in ranks[self._index]
            if expert >= 0
        }
        for layer, expert in sorted(wanted - self._loaded_experts):
            await self._weights.fetch(f"{layer}/{expert}")
        self._loaded_experts = wanted
        text = placement.decode()
        await self._send_order("load", fence, epoch=epoch, placement=text)

    async def _send_order(
        self,
        verb: str,
        fence: int,
        *,
        epoch: int = 0,
        step: int = 0,
        placement: str = "",
    ) -> bool:
        body = {
            "verb": verb,
            "fence": fence,
            "epoch": epoch,
            "step": step,
            "placement": placement,
        }
        return (await self._call("POST", "/orders", body))["done"]

    async def _call(self, method: str, path: str, body: dict | None = None) -> dict:
        try:
            async with self._session.request(
                method, self._url + path, json=body, timeout=self._timeout
            ) as resp:
                return msgspec.json.decode(await read_body(resp, MAX_ANSWER_BYTES))
        except (aiohttp.ClientError, TimeoutError, msgspec.DecodeError) as exc:
            log_rejected(exc, self._url, f"{method} {path}")
            raise RankUnreachableError(
                f"rank {self._index} at {self._url}: {method} {path} failed: {exc!r}"
            ) from exc


class RankHost:
    """Route orders to the gates of the ranks on this sidecar's instance.

    Parameters
    ----------
    incarnation : str
        Incarnation of the sidecar, which is also that of its gates.
    """

    def __init__(
        self,
        cfg: list[RankSettings],
        incarnation: str,
        ranks: list[EngineRank],
        peers: GroupPeers,
        clock: Callable[[], float],
    ) -> None:
        self.group = cfg[0].group
        self.gates = {
            rank_cfg.rank: RankGate(rank_cfg.rank, rank, incarnation)
            for rank_cfg, rank in zip(cfg, ranks, strict=True)
        }
        self._ranks = dict(zip((c.rank for c in cfg), ranks, strict=True))
        self._peers = peers
        self._clock = clock
        self._waiting_since: dict[int, float] = {}

    async def on_order(self, peer: str, body: bytes) -> MapReply | None:
        """Handle an order from a link.

        Return None if the rank is not on this sidecar's instance or cannot be reached.
        """
        order = decode(body, MapOrder)
        gate = self.gates.get(order.rank)
        if gate is None or order.group != self.group:
            return None
        try:
            return await gate.handle_order(order)
        except RankUnreachableError:
            return None

    async def on_ranks_question(self, peer: str, body: bytes) -> RanksAnswer:
        """Return the ranks of a group that run on this sidecar's instance."""
        question = decode(body, RanksQuestion)
        ranks = sorted(self.gates) if question.group == self.group else []
        return RanksAnswer(ranks)

    async def settle_overdue_arms(self) -> None:
        """Settle each arm that has held a rank for longer than `ARM_TIMEOUT_S`."""
        now = self._clock()
        for index, rank in self._ranks.items():
            try:
                state = await rank.state()
            except RankUnreachableError:
                continue
            is_waiting = state.hold_step and state.next_step == state.hold_step
            if not is_waiting:
                self._waiting_since.pop(index, None)
                continue
            since = self._waiting_since.setdefault(index, now)
            if now - since >= ARM_TIMEOUT_S:
                await self._settle_arm(state.hold_step)
                self._waiting_since.pop(index, None)

    async def _settle_arm(self, step: int) -> None:
        try:
            peers = await self._peers.connect()
            settlement = await settle_arm(peers, self.group, step)
        except (LinkDownError, PlatformError) as exc:
            log.warning("arm_not_settled", extra={"step": step, "why": exc})
            return
        log.info("arm_settled", extra={"step": step, "verdict": settlement.outcome})
