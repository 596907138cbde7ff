"""Stand-in of an engine's group of ranks, which run in lock-step on an expert map.

No rank begins a step before all ranks have begun the previous one. One process serves
all ranks:

``POST /ranks/{rank}/orders``
    Carry out an order for one rank: load, hold, switch, release or drop. A switch to
    an epoch older than that of the last switch is refused. With ``checks_fence=1`` an
    order with a fencing number lower than the highest one seen is refused;
    otherwise fencing numbers are not checked.
``GET /ranks/{rank}/state``
    Return the rank's epoch, next step, hold, switch and loaded maps.
``GET /loads``
    Return the tokens that were routed to each expert since the last call.
``POST /shift``
    Change the popularity of the experts.
``POST /ranks/{rank}/stall``
    Fault: stop or continue one rank, which blocks the whole group.

The faults of `faults` apply too. The record contains the epoch that each rank used in
every step, and all orders with their results, except those that are refused because of
their fencing number.
"""

import asyncio
import json

import numpy as np
from aiohttp import web

from slatehoist_standins.faults import build_app_with_faults
from slatehoist_standins.record import Record

GROUP = web.AppKey("group", "RankGroup")


class SimulatedRank:
    """State of one rank: its maps, its next step, and a hold or switch ahead."""

    def __init__(self) -> None:
        self.epoch = 1
        self.next_step = 1
        self.hold_step = 0
        self.switch_epoch = 1
        self.switch_step = 0
        self.loaded = {1: None}
        self.fence = 0
        self.stalled = False

    def may_begin_step(self) -> bool:
        """Return True if the rank is neither stalled nor held at its next step."""
        return not self.stalled and self.next_step != self.hold_step

    def begin_step(self) -> int:
        """Begin the next step and return the epoch of the map that it uses."""
        if self.switch_step and self.next_step >= self.switch_step:
            self.epoch = self.switch_epoch
        self.next_step += 1
        return self.epoch

    def state(self) -> dict:
        """Return the state as a JSON object."""
        return {
            "epoch": self.epoch,
            "next_step": self.next_step,
            "hold_step": self.hold_step,
            "switch_epoch": self.switch_epoch,
            "switch_step": self.switch_step,
            "loaded": sorted(self.loaded),
        }

    def apply_order(self, verb: str, epoch: int, step: int, placement: str) -> bool:
        """Carry out an order; return False if it came too late.

        That is a hold of a step that the rank has already begun, or a switch to an
        epoch older than that of the last switch.
        """
        if verb == "load":
            self.loaded[epoch] = placement
        elif verb == "hold":
            if self.next_step > step:
                return False
            self.hold_step = step
        elif verb == "switch":
            if epoch < self.switch_epoch:
                return False
            self.switch_epoch, self.switch_step = epoch, step
            if self.hold_step == step:
                self.hold_step = 0
        elif verb == "release":
            if self.hold_step == step:
                self.hold_step = 0
        elif verb == "drop":
            self.loaded.pop(epoch, None)
        return True


class RankGroup:
    """Ranks that run in lock-step, and the token counts of their experts.

    The popularity of the experts follows Zipf's law, so that their loads differ.
    """

    def __init__(
        self, count: int, step_s: float, record: Record, checks_fence: bool
    ) -> None:
        self.ranks = [SimulatedRank() for _ in range(count)]
        self.step_s = step_s
        self.record = record
        self.checks_fence = checks_fence
        self.layers = 2
        self.experts = count * 2
        self.tokens = np.zeros((self.layers, self.experts))
        self.rng = np.random.default_rng(1)
        self.popularity = 1 / np.arange(1, self.experts + 1)

    async def run(self) -> None:
        """Run steps until cancelled; all ranks begin one before any begins the next."""
        pending = set(range(len(self.ranks)))
        used_epochs: dict[int, int] = {}
        while True:
            for index in sorted(pending):
                if self.ranks[index].may_begin_step():
                    used_epochs[index] = self.ranks[index].begin_step()
            pending -= used_epochs.keys()
            if pending:
                await asyncio.sleep(self.step_s / 5)
                continue
            step = self.ranks[0].next_step - 1
            epochs = [used_epochs[index] for index in range(len(self.ranks))]
            self.record.write("step", step=step, epochs=epochs)
            pending, used_epochs = set(range(len(self.ranks))), {}
            self._route_tokens()
            await asyncio.sleep(self.step_s)

    def _route_tokens(self) -> None:
        share = self.popularity / self.popularity.sum()
        for layer in range(self.layers):
            self.tokens[layer] += self.rng.multinomial(100, share)


async def handle_order(req: web.Request) -> web.Response:
    """Carry out an order for one rank."""
    group = req.app[GROUP]
    rank = group.ranks[int(req.match_info["rank"])]
    body = await req.json()
    if group.checks_fence and body["fence"] < rank.fence:
        return web.json_response({"done": False, "reason": "fence"})
    rank.fence = max(rank.fence, body["fence"])
    done = rank.apply_order(
        body["verb"], body["epoch"], body["step"], body["placement"]
    )
    group.record.write("order", rank=int(req.match_info["rank"]), **body, done=done)
    return web.json_response({"done": done, **rank.state()})


async def get_state(req: web.Request) -> web.Response:
    """Return the state of one rank."""
    rank = req.app[GROUP].ranks[int(req.match_info["rank"])]
    return web.json_response(rank.state())


async def get_loads(req: web.Request) -> web.Response:
    """Return the tokens of each expert since the last call, and reset the counts."""
    group = req.app[GROUP]
    tokens, group.tokens = group.tokens, np.zeros_like(group.tokens)
    return web.Response(text=json.dumps({"tokens": tokens.tolist()}))


async def shift_popularity(req: web.Request) -> web.Response:
    """Permute the popularity of the experts, so that another map fits best."""
    group = req.app[GROUP]
    group.popularity = group.rng.permutation(group.popularity)
    return web.Response()


async def set_stalled(req: web.Request) -> web.Response:
    """Stop or continue one rank."""
    rank = req.app[GROUP].ranks[int(req.match_info["rank"])]
    rank.stalled = (await req.json())["stalled"]
    return web.Response()


async def _run_group(app: web.Application):
    task = asyncio.create_task(app[GROUP].run())
    yield
    task.cancel()


def build_app(
    count: str = "4", step_s: str = "0.005", record: str = "", checks_fence: str = ""
) -> web.Application:
    """Build the application; ``step_s`` is the time between two steps."""
    app = build_app_with_faults()
    app[GROUP] = RankGroup(
        int(count), float(step_s), Record(record), bool(checks_fence)
    )
    app.router.add_post("/ranks/{rank}/orders", handle_order)
    app.router.add_get("/ranks/{rank}/state", get_state)
    app.router.add_post("/ranks/{rank}/stall", set_stalled)
    app.router.add_get("/loads", get_loads)
    app.router.add_post("/shift", shift_popularity)
    app.cleanup_ctx.append(_run_group)
    return app
