"""Group of ranks that can answer late, carry orders out late and lose power."""

import asyncio
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parents[2] / "review"))

from harness.deployment import Record  # noqa: E402
from harness.http import HttpServer, Request  # noqa: E402
from harness.ranks import ENGINE, RankGroup  # noqa: E402

#: Experts of each rank in map 0, experts that a rank can hold, and copies of a plan.
EXPERTS_PER_RANK = 2
PLACES = 6
SPARE = 4
#: Seconds after which a late order is carried out.
LATE_ORDER_S = 2.0
_API = "/api/"
_ORDER = "/api/order"


class _Buffer:
    """Writer that keeps a response."""

    def __init__(self) -> None:
        self.data = b""

    def write(self, data: bytes) -> None:
        """Add bytes to the response."""
        self.data += data


class SlowRankGroup(RankGroup):
    """Group whose ranks take a stated time to answer agents.

    Attributes
    ----------
    answer_s : float
        Seconds from a query or an order, which is carried out at once, to its answer.
    late_ratio : float
        Fraction of the orders that get no answer and are carried out later.
    orders : int
        Orders received.
    """

    def __init__(self, size: int, record: Record, rng: random.Random) -> None:
        super().__init__(size, record)
        self.answer_s = 0.0
        self.late_ratio = 0.0
        self.orders = 0
        self._late_rng = rng
        self._is_down = False
        self._id_suffix = ""
        self._late: set[asyncio.Task] = set()
        self._reset_ranks()

    @property
    def engine(self) -> dict:
        """Return the field ``engine`` of the service in the configuration."""
        experts = EXPERTS_PER_RANK * self.size
        return {**ENGINE, "experts": experts, "places": PLACES, "spare": SPARE}

    def _reset_ranks(self) -> None:
        experts = EXPERTS_PER_RANK * self.size
        for rank in self.ranks:
            rank.map_version, rank.content = 0, "map 0"
            rank.map = [list(range(rank.number, experts, self.size))]
            rank.highest = 0
            rank.prepared = rank.prepared_map = rank.armed = rank.held = None
            rank.counts = [0] * experts

    def lose_power(self) -> None:
        """End all channels; the ranks answer nothing until `return_power`."""
        self._is_down = True
        for server in self._servers:
            for task in list(server._tasks):
                task.cancel()

    def server_id(self, rank: int) -> str:
        """Return the id under which a rank registers itself."""
        return f"rank-{rank}{self._id_suffix}"

    def return_power(self, new_ids: bool = False) -> None:
        """Open the group in a new epoch, with map 0."""
        self.epoch += 1
        if new_ids:
            self._id_suffix = f"-{self.epoch}"
        self.born = int(time.time() * 1000)
        self._reset_ranks()
        self._is_down = False

    def stop(self) -> None:
        """Stop the servers, the passes and the late orders."""
        super().stop()
        for task in self._late:
            task.cancel()

    async def start(self, hosts: list[str]) -> None:
        """Start the servers and the passes."""
        await super().start(hosts)
        assert all(isinstance(server, HttpServer) for server in self._servers)

    def _handler(self, rank):
        handle = super()._handler(rank)

        async def handle_slowly(req: Request, writer: asyncio.StreamWriter) -> None:
            if self._is_down:
                raise ConnectionResetError
            if not req.target.startswith(_API):
                await handle(self._with_plain_id(rank.number, req), writer)
                return
            answer = _Buffer()
            if req.target == _ORDER:
                self.orders += 1
                if self._late_rng.random() < self.late_ratio:
                    self._carry_out_late(handle(req, answer))
                    await asyncio.sleep(LATE_ORDER_S)
                    raise ConnectionResetError
            await handle(req, answer)
            await asyncio.sleep(self.answer_s)
            writer.write(answer.data)

        return handle_slowly

    def _with_plain_id(self, rank: int, req: Request) -> Request:
        """Return a request with the rank's first id if it names the present one."""
        if req.headers.get("expect-instance") != self.server_id(rank):
            return req
        return req._replace(headers={**req.headers, "expect-instance": f"rank-{rank}"})

    def _carry_out_late(self, work) -> None:
        async def wait_and_work() -> None:
            await asyncio.sleep(LATE_ORDER_S)
            await work

        task = asyncio.create_task(wait_and_work())
        self._late.add(task)
        task.add_done_callback(self._late.discard)
