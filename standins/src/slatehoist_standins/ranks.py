"""Stand-in of a group of ranks that run in lock-step on an expert map.

No rank begins a step before all have ended the one before. Each rank takes orders of
its own over ``/ranks/{i}/…``: load, hold, switch, release, drop. The record holds, for
every step, the epoch of the map that each rank used. A switch to an
older epoch than the last one is refused. With ``checks_fence=1`` orders
with an old fencing number are refused; otherwise the number is ignored.
"""

import asyncio
import json

import numpy as np
from aiohttp import web

from slatehoist_standins.faults import build_app_with_faults
from slatehoist_standins.record import Record

GROUP = web.AppKey("group", "RankGroup")


class RankModel:
    """One rank."""

    def __init__(self) -> None:
        self.epoch = 1
        self.next_step = 1
        self.hold_step = 0
        self.switch_epoch = 1
        self.switch_step = 0
        self.loaded = {1: None}
        self.fence = 0
        self.stalled = False

    def may_begin(self) -> bool:
        """Tell whether the rank may begin its next step."""
        return not self.stalled and self.next_step != self.hold_step

    def begin(self) -> int:
        """Begin the next step and give the epoch of the map that it uses."""
        if self.switch_step and self.next_step >= self.switch_step:
            self.epoch = self.switch_epoch
        self.next_step += 1
        return self.epoch

    def state(self) -> dict:
        """Give the state."""
        return {
            "epoch": self.epoch,
            "next_step": self.next_step,
            "hold_step": self.hold_step,
            "switch_epoch": self.switch_epoch,
            "switch_step": self.switch_step,
            "loaded": sorted(self.loaded),
        }

    def order(self, verb: str, epoch: int, step: int, placement: str) -> bool:
        """Carry out an order; False if it came too late."""
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
    """Ranks in lock-step."""

    def __init__(
        self, count: int, step_s: float, record: Record, checks_fence: bool
    ) -> None:
        self.ranks = [RankModel() for _ in range(count)]
        self.step_s = step_s
        self.record = record
        self.checks_fence = checks_fence
        self.layers = 2
        self.experts = count * 2
        self.tokens = np.zeros((self.layers, self.experts))
        self.rng = np.random.default_rng(1)
        self.popularity = 1 / np.arange(1, self.experts + 1)

    async def run(self) -> None:
        """Step for ever; a rank that may not begin holds back all of the next step."""
        pending = set(range(len(self.ranks)))
        used: dict[int, int] = {}
        while True:
            for index in sorted(pending):
                if self.ranks[index].may_begin():
                    used[index] = self.ranks[index].begin()
            pending -= used.keys()
            if pending:
                await asyncio.sleep(self.step_s / 5)
                continue
            step = self.ranks[0].next_step - 1
            epochs = [used[index] for index in range(len(self.ranks))]
            self.record.write("step", step=step, epochs=epochs)
            pending, used = set(range(len(self.ranks))), {}
            self._route()
            await asyncio.sleep(self.step_s)

    def _route(self) -> None:
        share = self.popularity / self.popularity.sum()
        for layer in range(self.layers):
            self.tokens[layer] += self.rng.multinomial(100, share)


async def order(req: web.Request) -> web.Response:
    """Carry out an order for one rank."""
    group = req.app[GROUP]
    rank = group.ranks[int(req.match_info["rank"])]
    body = await req.json()
    if group.checks_fence and body["fence"] < rank.fence:
        return web.json_response({"done": False, "reason": "fence"})
    rank.fence = max(rank.fence, body["fence"])
    done = rank.order(body["verb"], body["epoch"], body["step"], body["placement"])
    group.record.write("order", rank=int(req.match_info["rank"]), **body, done=done)
    return web.json_response({"done": done, **rank.state()})


async def state(req: web.Request) -> web.Response:
    """Serve the state of one rank."""
    rank = req.app[GROUP].ranks[int(req.match_info["rank"])]
    return web.json_response(rank.state())


async def loads(req: web.Request) -> web.Response:
    """Serve the tokens that each expert was given since the last call."""
    group = req.app[GROUP]
    tokens, group.tokens = group.tokens, np.zeros_like(group.tokens)
    return web.Response(text=json.dumps({"tokens": tokens.tolist()}))


async def shift(req: web.Request) -> web.Response:
    """Draw the experts' popularity anew, so that another map fits."""
    group = req.app[GROUP]
    group.popularity = group.rng.permutation(group.popularity)
    return web.Response()


async def stall(req: web.Request) -> web.Response:
    """Stall or continue one rank."""
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
    """Build the application."""
    app = build_app_with_faults()
    app[GROUP] = RankGroup(
        int(count), float(step_s), Record(record), bool(checks_fence)
    )
    app.router.add_post("/ranks/{rank}/orders", order)
    app.router.add_get("/ranks/{rank}/state", state)
    app.router.add_post("/ranks/{rank}/stall", stall)
    app.router.add_get("/loads", loads)
    app.router.add_post("/shift", shift)
    app.cleanup_ctx.append(_run_group)
    return app
