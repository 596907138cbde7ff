"""Stand-in of a group of model servers that execute each pass together.

It follows the pages: what `prepare`, `arm`, `disarm`, `hold` and `go` do, and when they
are refused. Requests are not served; `busy_until` says how long the group has some, and
an idle group makes no passes.
"""

import asyncio
import random
import time
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

from aiohttp import web

#: Dimensions of the group, as in the service's `engine`.
SETS = 2
EXPERTS = 12
PLACES = 8
SPARE = 4
#: Seconds that a rank copies an expert, and seconds between passes.
COPY_S = 0.05
PASS_S = 0.06
#: Choices that the requests of one rank add to each set in a pass.
COUNTS_PER_PASS = 600
#: Seconds after which a connection of an order without an answer is closed.
NO_ANSWER_S = 30.0


def loopback_prefix() -> str:
    """Return the first three numbers of loopback addresses for one run."""
    draw = random.SystemRandom()
    return f"127.{draw.randrange(1, 255)}.{draw.randrange(0, 255)}"


def make_engine(ranks: int) -> dict[str, Any]:
    """Return the field `engine` of the group's service."""
    return {
        "slots": 6,
        "kvCapacity": 247000,
        "step_ms": 4.84,
        "per_seq_ms": 0.724,
        "context_per_k": 0.022,
        "read_per_s": 74800.0,
        "pairs_per_m": 0.232,
        "chunk": 512,
        "stride": 6,
        "report_lag_ms": 200.0,
        "usual": {"prompt": 835, "answer": 159},
        "sets": SETS,
        "experts": EXPERTS,
        "places": PLACES,
        "spare": SPARE,
        "expertMb": COPY_S * 1000.0,
        "linkMbps": 8000.0,
        "expertShare": 0.85,
        "form_ms": 600.0,
        "size": ranks,
    }


class Violation(NamedTuple):
    """Pass that began while ranks had different maps, with their versions."""

    step: int
    versions: list[int]


class Rank:
    """State of one rank: its map, what it prepares, and what is armed and held."""

    def __init__(self, number: int, size: int) -> None:
        self.number = number
        first = [
            [e for e in range(EXPERTS) if e % size == rank] for rank in range(size)
        ]
        self.maps: dict[int, Any] = {0: [first for _ in range(SETS)]}
        self.version = 0
        self.prepared: int | None = None
        #: Newest version that was ordered, and the time at which its copy is complete.
        self.ordered = 0
        self.copied_at = 0.0
        self.armed: tuple[int, int] | None = None
        self.held: int | None = None
        self.seq = 0
        self.counts = [0] * (SETS * EXPERTS)

    def update(self, now: float) -> None:
        """Complete a copy that is due."""
        if self.ordered > (self.prepared or 0) and now >= self.copied_at:
            self.prepared = self.ordered

    def carry_out(self, body: dict[str, Any], step: int, now: float) -> int:
        """Carry out an order; return the status of its answer.

        Parameters
        ----------
        step : int
            Last pass that was begun.
        """
        self.update(now)
        status = getattr(self, f"_{body['op']}")(body, step, now)
        if status == 202:
            self.seq += 1
        return status

    def _prepare(self, body: dict[str, Any], step: int, now: float) -> int:
        version, placement = body["version"], body["map"]
        if version == self.ordered:
            return 200 if self.prepared == version else 202
        if version <= max(self.ordered, self.version) or self.armed is not None:
            return 409
        before = self.maps[self.version]
        added = [
            len(set(new[self.number]) - set(old[self.number]))
            for old, new in zip(before, placement, strict=True)
        ]
        if max(added) > SPARE:
            return 409
        self.maps[version] = placement
        self.ordered, self.prepared = version, None
        self.copied_at = now + sum(added) * COPY_S
        self.update(now)
        return 202

    def _arm(self, body: dict[str, Any], step: int, now: float) -> int:
        wanted = body["version"], body["step"]
        if self.armed == wanted:
            return 200
        if self.prepared != wanted[0] or wanted[1] <= step:
            return 409
        self.armed = wanted
        return 202

    def _disarm(self, body: dict[str, Any], step: int, now: float) -> int:
        if self.version == body["version"]:
            return 409
        if self.armed is None or self.armed[0] != body["version"]:
            return 200
        self.armed = None
        return 202

    def _hold(self, body: dict[str, Any], step: int, now: float) -> int:
        if self.held == body["step"]:
            return 200
        if self.held is not None or body["step"] <= step:
            return 409
        self.held = body["step"]
        return 202

    def _go(self, body: dict[str, Any], step: int, now: float) -> int:
        if self.held != body["step"]:
            return 200
        self.held = None
        return 202


class RankGroup:
    """All ranks of one group.

    Attributes
    ----------
    busy_until : float
        Monotonic time until which the group has requests.
    lateness : callable
        Called with the rank and the body of each order; returns the seconds after which
        the order is carried out without an answer, or None to answer it at once.
    on_order : callable
        Called with the rank, the body and the status of each order.
    favourites : tuple of int
        Experts that get most of the tokens.
    violations : list of Violation
    """

    def __init__(self, size: int, write: Callable[[str], None]) -> None:
        self.size = size
        self.ranks = [Rank(number, size) for number in range(size)]
        self.step = 0
        self.busy_until = 0.0
        self.favourites = (0, 3)
        self.lateness: Callable[[int, dict], float | None] = lambda rank, body: None
        self.on_order: Callable[[int, dict, int], Awaitable[None] | None] = (
            lambda rank, body, status: None
        )
        self.violations: list[Violation] = []
        self.addresses: list[str] = []
        self._write = write
        self._runners: list[web.AppRunner] = []

    async def start(self, hosts: list[str], port: int) -> None:
        """Serve each rank at its host, and begin to make passes."""
        for rank, host in zip(self.ranks, hosts, strict=True):
            app = web.Application(client_max_size=4 * 1024 * 1024)
            app["rank"] = rank
            app.router.add_get("/api/report", self._get_report)
            app.router.add_get("/api/picked", self._get_picked)
            app.router.add_post("/api/order", self._post_order)
            runner = web.AppRunner(app, shutdown_timeout=0.1)
            await runner.setup()
            await web.TCPSite(runner, host, port).start()
            self._runners.append(runner)
            self.addresses.append(f"{host}:{port}")
        self._passes = asyncio.create_task(self._run_passes())

    async def stop(self) -> None:
        """Stop serving."""
        self._passes.cancel()
        for runner in self._runners:
            await runner.cleanup()

    def row(self, rank: int, service: str) -> dict[str, Any]:
        """Return the entry of a rank's server."""
        return {
            "service": service,
            "addr": self.addresses[rank],
            "zone": "a",
            "version": "v1",
            "slots": 6,
            "state": "ready",
            "coldLeftMs": 0,
            "seq": 1,
            "born": 1_700_000_000_000,
        }

    async def _run_passes(self) -> None:
        while True:
            await asyncio.sleep(PASS_S)
            if time.monotonic() < self.busy_until:
                self._begin_pass()

    def _begin_pass(self) -> None:
        step = self.step + 1
        if any(rank.held == step for rank in self.ranks):
            return
        self.step = step
        for rank in self.ranks:
            if rank.armed is not None and rank.armed[1] <= step:
                rank.version, rank.armed = rank.armed[0], None
                self._write(f"pass {step}: rank {rank.number} uses map {rank.version}")
        versions = [rank.version for rank in self.ranks]
        maps = [rank.maps[rank.version] for rank in self.ranks]
        if any(other != maps[0] for other in maps) or len(set(versions)) > 1:
            self.violations.append(Violation(step, versions))
            if len(self.violations) <= 3:
                self._write(f"pass {step} begins with maps {versions}")
        # A few experts get most of the tokens.
        for rank in self.ranks:
            for index in range(SETS):
                for expert in range(EXPERTS):
                    share = 0.3 if expert in self.favourites else 0.04
                    chosen = round(COUNTS_PER_PASS * share)
                    rank.counts[index * EXPERTS + expert] += chosen

    async def _get_report(self, req: web.Request) -> web.Response:
        rank = req.app["rank"]
        rank.update(time.monotonic())
        is_busy = time.monotonic() < self.busy_until
        doc = {
            "stage": "both",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": False,
            "seq": rank.seq,
            "waiting": 0,
            "running": 2 if is_busy else 0,
            "kvUsed": 41000,
            "kvTotal": 247000,
            "handles": 0,
            "pace": 1.0,
            "group": {"name": "g", "epoch": 1, "rank": rank.number, "state": "open"},
            "size": self.size,
            "step": self.step,
            "map": rank.version,
            "prepared": rank.prepared,
            "held": rank.held,
            "armed": None,
        }
        if rank.armed is not None:
            doc["armed"] = {"version": rank.armed[0], "step": rank.armed[1]}
        return web.json_response(doc)

    async def _get_picked(self, req: web.Request) -> web.Response:
        rank = req.app["rank"]
        rank.update(time.monotonic())
        doc: dict[str, Any] = {"step": self.step, "epoch": 1, "counts": rank.counts}
        if "lists" in req.query:
            doc["map"] = self._lists(rank, rank.version)
            if rank.prepared is not None:
                doc["prepared"] = self._lists(rank, rank.prepared)
        return web.json_response(doc)

    def _lists(self, rank: Rank, version: int) -> dict[str, Any]:
        experts = [ranks[rank.number] for ranks in rank.maps[version]]
        return {"version": version, "experts": experts}

    async def _post_order(self, req: web.Request) -> web.Response:
        rank, body = req.app["rank"], await req.json()
        late_s = self.lateness(rank.number, body)
        if late_s is not None:
            text = self._describe(rank, body)
            self._write(f"{text}: no answer, carried out {late_s:.1f} s later")
            loop = asyncio.get_running_loop()
            loop.call_later(late_s, self._carry_out, rank, body, " (late)")
            await asyncio.sleep(NO_ANSWER_S)
            return web.Response(status=503)
        status = self._carry_out(rank, body)
        self.on_order(rank.number, body, status)
        return web.Response(status=status)

    def _carry_out(self, rank: Rank, body: dict[str, Any], note: str = "") -> int:
        status = 409
        if body.get("epoch", 1) == 1:
            status = rank.carry_out(body, self.step, time.monotonic())
        self._write(f"{self._describe(rank, body)}{note}: {status}")
        return status

    def _describe(self, rank: Rank, body: dict[str, Any]) -> str:
        fields = [f"{key} {body[key]}" for key in ("version", "step") if key in body]
        return f"order to rank {rank.number}: {body['op']} {' '.join(fields)}"
