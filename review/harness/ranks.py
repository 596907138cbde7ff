"""Stand-in of a group of model servers (ranks) that run each pass together.

It follows the users' pages: the reports, the counts of chosen experts, the orders and
their refusals, and requests that wait for passes. Orders may get a slow answer only
where a script asks for it.
"""

import asyncio
import json
import random
import time
from collections.abc import Callable
from typing import Any
from urllib.parse import urlsplit

from harness.deployment import ZONE, Record
from harness.http import (
    LAST_CHUNK,
    HttpServer,
    Request,
    encode_chunk,
    encode_head,
)

GROUP = "group-a"
EXPERTS = 8
PLACES = 4
SPARE = 4
SETS = 1
#: Seconds of a pass while there is work.
PASS_S = 0.08
#: Seconds of the copy of one expert.
COPY_S = 0.1
#: Choices of experts by one rank in a pass.
CHOICES = 40
#: Events of one stream; each pass makes one.
EVENTS = 12

#: Fields of the service's ``engine`` in the desired state.
ENGINE = {
    "slots": 6,
    "step_ms": 4.84,
    "per_seq_ms": 0.362,
    "context_per_k": 0.011,
    "read_per_s": 74_800,
    "pairs_per_m": 0.232,
    "chunk": 512,
    "stride": 6,
    "usual": {"prompt": 714, "answer": 156},
    "report_lag_ms": 200,
    "sets": SETS,
    "experts": EXPERTS,
    "places": PLACES,
    "spare": SPARE,
    "expertMb": 550,
    "linkMbps": 44_000,
    "expertShare": 0.85,
}


class Rank:
    """State of one rank; an order that is accepted changes it at once."""

    def __init__(self, number: int, size: int) -> None:
        self.number = number
        self.map_version = 0
        self.map = [list(range(number, EXPERTS, size))]
        #: Whole map in use, for the comparison of all ranks.
        self.content = "map 0"
        self.highest = 0
        self.prepared: int | None = None
        self.prepared_map: list | None = None
        self.armed: tuple[int, int] | None = None
        self.held: int | None = None
        self.seq = 0
        self.counts = [0] * (SETS * EXPERTS)
        self.running: set[str] = set()
        self.address = ""


class RankGroup:
    """Group of ranks, each a server at an address of its own.

    Attributes
    ----------
    violations : list of dict
        Passes that began while ranks had different maps.
    on_order : callable
        Called with the rank and the body of each accepted order, before its answer.
    is_uneven : bool
        True if a few experts are in demand, so that another map fits better.
    """

    def __init__(self, size: int, record: Record) -> None:
        self.size = size
        self.record = record
        self.epoch = 1
        self.step = 0
        self.ranks = [Rank(number, size) for number in range(size)]
        self.violations: list[dict[str, Any]] = []
        self.on_order: Callable[[int, dict], None] = lambda rank, body: None
        self.born = int(time.time() * 1000)
        self.is_uneven = True
        self._servers: list[HttpServer] = []
        self._pass_begun = asyncio.Condition()
        self._rng = random.Random(1)

    async def start(self, hosts: list[str]) -> None:
        """Start the servers and the passes."""
        for rank, host in zip(self.ranks, hosts, strict=True):
            server = HttpServer(self._handler(rank))
            rank.address = await server.start(host)
            self._servers.append(server)
        self._task = asyncio.create_task(self._run_passes())

    def stop(self) -> None:
        """Stop the servers and the passes."""
        self._task.cancel()
        for server in self._servers:
            server.stop()

    def row(self, rank: int, service: str) -> dict[str, Any]:
        """Return the row by which a rank registers itself."""
        return {
            "service": service,
            "addr": self.ranks[rank].address,
            "zone": ZONE,
            "version": "v1",
            "slots": ENGINE["slots"],
            "state": "ready",
            "coldLeftMs": 0,
            "seq": 1,
            "born": self.born,
            "stage": "both",
            "models": [{"name": "m", "version": 1, "adapters": []}],
        }

    @property
    def has_work(self) -> bool:
        """Return True if any rank runs requests."""
        return any(rank.running for rank in self.ranks)

    @property
    def is_held(self) -> bool:
        """Return True if the next pass is held."""
        return any(rank.held == self.step + 1 for rank in self.ranks)

    async def _run_passes(self) -> None:
        while True:
            await asyncio.sleep(PASS_S)
            if self.has_work and not self.is_held:
                await self._begin_pass()

    async def _begin_pass(self) -> None:
        self.step += 1
        for rank in self.ranks:
            if rank.armed is not None and rank.armed[1] == self.step:
                rank.map_version = rank.armed[0]
                rank.map = [ranks[rank.number] for ranks in rank.prepared_map]
                rank.content = json.dumps(rank.prepared_map)
                rank.armed = None
                self.record.write(
                    "map in use",
                    rank=rank.number,
                    version=rank.map_version,
                    step=self.step,
                )
            for number in range(CHOICES if rank.running else 0):
                # Uneven demand goes mostly to the experts of rank 0 in map 0.
                hot = (0, 0, 0, self.size, self.size, 1, 2, 3)
                expert = self._rng.choice(hot) if self.is_uneven else number % EXPERTS
                rank.counts[expert] += 1
        if len({(rank.map_version, rank.content) for rank in self.ranks}) > 1:
            versions = [rank.map_version for rank in self.ranks]
            self.violations.append({"step": self.step, "versions": versions})
            if len(self.violations) <= 3:
                self.record.write(
                    "pass with different maps", step=self.step, versions=versions
                )
        async with self._pass_begun:
            self._pass_begun.notify_all()

    def _handler(self, rank: Rank):
        async def handle(req: Request, writer: asyncio.StreamWriter) -> None:
            path = urlsplit(req.target)
            if path.path == "/api/report":
                status, doc = 200, self._report(rank)
            elif path.path == "/api/picked":
                status, doc = 200, self._picked(rank, "lists" in path.query)
            elif path.path == "/api/order":
                status, doc = self._take_order(rank, json.loads(req.body)), {}
            else:
                await self._serve_stream(rank, req, writer)
                return
            data = json.dumps(doc).encode()
            headers = {
                "Content-Type": "application/json",
                "Content-Length": str(len(data)),
            }
            writer.write(encode_head(status, headers) + data)

        return handle

    def _report(self, rank: Rank) -> dict[str, Any]:
        armed = rank.armed
        return {
            "stage": "both",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": False,
            "seq": rank.seq,
            "waiting": 0,
            "running": len(rank.running),
            "kvUsed": 1000,
            "kvTotal": 247_000,
            "handles": 0,
            "born": self.born,
            "group": {
                "name": GROUP,
                "epoch": self.epoch,
                "rank": rank.number,
                "state": "open",
            },
            "size": self.size,
            "step": self.step,
            "map": rank.map_version,
            "prepared": rank.prepared,
            "armed": armed and {"version": armed[0], "step": armed[1]},
            "held": rank.held,
            "pace": 1.0,
        }

    def _picked(self, rank: Rank, with_lists: bool) -> dict[str, Any]:
        if with_lists:
            prepared = None
            if rank.prepared is not None:
                experts = [ranks[rank.number] for ranks in rank.prepared_map]
                prepared = {"version": rank.prepared, "experts": experts}
            used = {"version": rank.map_version, "experts": rank.map}
            return {"map": used, "prepared": prepared}
        return {"step": self.step, "epoch": self.epoch, "counts": rank.counts}

    def _take_order(self, rank: Rank, body: dict[str, Any]) -> int:
        """Carry out an order, and return the status of its answer."""
        if body.get("epoch", self.epoch) != self.epoch:
            status = 409
        else:
            handler = getattr(self, f"_order_{body['op']}", None)
            status = 400 if handler is None else handler(rank, body)
        logged = {k: v for k, v in body.items() if k not in ("map", "epoch")}
        self.record.write("order", rank=rank.number, status=status, **logged)
        if status in (200, 202):
            self.on_order(rank.number, body)
        return status

    def _order_prepare(self, rank: Rank, body: dict[str, Any]) -> int:
        version, new_map = body["version"], body["map"]
        if rank.prepared == version:
            return 200
        if version <= max(rank.highest, rank.map_version) or rank.armed is not None:
            return 409
        added = max(
            len(set(ranks[rank.number]) - set(rank.map[index]))
            for index, ranks in enumerate(new_map)
        )
        if added > SPARE:
            return 409
        rank.highest = version
        rank.prepared, rank.prepared_map = None, new_map
        rank.seq += 1
        if not added:
            rank.prepared = version
            return 200
        loop = asyncio.get_running_loop()
        loop.call_later(added * COPY_S, self._end_copy, rank, version)
        return 202

    def _end_copy(self, rank: Rank, version: int) -> None:
        if rank.highest == version:
            rank.prepared = version

    def _order_arm(self, rank: Rank, body: dict[str, Any]) -> int:
        key = body["version"], body["step"]
        if rank.armed == key:
            return 200
        if rank.prepared != key[0] or key[1] <= self.step:
            return 409
        rank.armed = key
        rank.seq += 1
        return 200

    def _order_disarm(self, rank: Rank, body: dict[str, Any]) -> int:
        if rank.map_version == body["version"]:
            return 409
        if rank.armed is not None and rank.armed[0] == body["version"]:
            rank.armed = None
            rank.seq += 1
        return 200

    def _order_hold(self, rank: Rank, body: dict[str, Any]) -> int:
        if body["step"] <= self.step or rank.held not in (None, body["step"]):
            return 409
        if rank.held is None:
            rank.seq += 1
        rank.held = body["step"]
        return 200

    def _order_go(self, rank: Rank, body: dict[str, Any]) -> int:
        if rank.held == body["step"]:
            rank.held = None
            rank.seq += 1
        return 200

    async def _serve_stream(
        self, rank: Rank, req: Request, writer: asyncio.StreamWriter
    ) -> None:
        request_id = req.headers.get("request-id", "")
        if req.headers.get("expect-instance") not in (None, f"rank-{rank.number}"):
            writer.write(encode_head(421, {"Not-Run": "1", "Content-Length": "0"}))
            return
        deadline_at = time.monotonic() + int(req.headers["deadline-ms"]) / 1000
        headers = {
            "Request-Id": request_id,
            "Server-Stamp": f"proof-of-rank-{rank.number}",
            "Server-Load": f"{len(rank.running)},0,{ENGINE['slots']}",
        }
        rank.running.add(request_id)
        first = int(req.headers.get("last-event-id") or 0) + 1
        try:
            for number in range(first, EVENTS + 1):
                async with asyncio.timeout(deadline_at - time.monotonic()):
                    async with self._pass_begun:
                        await self._pass_begun.wait()
                if number == first:
                    kind = {
                        "Content-Type": "text/event-stream",
                        "Transfer-Encoding": "chunked",
                    }
                    writer.write(encode_head(200, {**headers, **kind}))
                writer.write(encode_chunk(f"id: {number}\ndata: {number}\n\n".encode()))
                await writer.drain()
            writer.write(LAST_CHUNK)
        except TimeoutError:
            if number > first:
                raise ConnectionResetError from None
            writer.write(encode_head(504, {**headers, "Content-Length": "0"}))
        finally:
            rank.running.discard(request_id)
