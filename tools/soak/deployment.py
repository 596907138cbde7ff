"""Soak of a whole deployment: gateways, agents, a group of ranks and a plain service.

Every program of the deploy file is a process at a loopback address of its own. The
store, the ranks, the plain server and the callers run in the process of the soak. All
processes are killed in one moment of a switch of expert maps, or in a steady state, and
are started again while the store, the ranks or some agents are disturbed. Afterwards
the deployment must serve again: see `Loss` for the disturbances and `judge` for what is
checked.
"""

import asyncio
import contextlib
import io
import json
import random
import signal
import sys
import time
from pathlib import Path
from typing import NamedTuple

from slatehoist_standins.deployment_server import DeploymentServer
from slatehoist_standins.deployment_store import DeploymentStore
from slatehoist_standins.fleet import Fleet
from soak.guarantees import NOT_RUN
from soak.slow_ranks import SlowRankGroup

sys.path.insert(0, str(Path(__file__).parents[2] / "review"))

from harness.deployment import (  # noqa: E402
    BOUNDS,
    HOST,
    ZONE,
    Record,
    free_port,
    loopback_prefix,
    new_id,
    route,
)
from harness.http import Channel  # noqa: E402

LAUNCHER = Path(__file__).parents[2] / "platform" / "launch.py"
MUTANT_LAUNCHER = Path(__file__).with_name("mutant_launch.py")
MODEL = "model"
PLAIN = "plain"
PLAIN_SERVERS = 2
#: Default number of gateways.
GATEWAYS = 3
#: Most processes of one run.
MAX_PROCESSES = 200
#: Requests per second, and the fraction of them for the plain service.
REQUESTS_PER_S = 15.0
PLAIN_RATIO = 0.2
DEADLINE_MS = 8000
PLAIN_DEADLINE_MS = 3000
#: Seconds of service before the loss, and the first ones, which do not count.
BEFORE_S = 8.0
WARM_UP_S = 3.0
#: Longest seconds to wait for the switch in which the processes are killed.
TRIGGER_TIMEOUT_S = 20.0
#: Seconds from the loss until the processes are started again.
DOWN_S = 1.5
#: Rule: seconds after the return from which requests count, how long they do, and the
#: fraction of them that must be served.
RECOVER_S = 12.0
JUDGED_S = 6.0
MIN_SERVED_RATIO = 0.25
#: Own target: seconds after the return, or after the end of the disturbance if that is
#: later, until a request is served, and until the former ratio is reached again.
FIRST_SERVED_S = 3.0
SERVED_AGAIN_S = 6.0
FORMER_RATIO = 0.9
#: Period in which a process with a share of the processor runs and is stopped.
SHARE_PERIOD_S = 0.1
TRIGGERS = ("steady", "prepare", "hold", "arm", "go")
STORE_FAULTS = ("", "silent", "down", "lost", "copy")
#: Crash reports of other gateways that the store has, if the loss has some.
CRASH_REPORTS = 60
#: Disturbances on the way back, from which a seed draws.
DISTURBANCES = ("store", "ranks", "agents", "late")
NEVER = float("inf")


class Loss(NamedTuple):
    """What is lost, and how it comes back.

    Attributes
    ----------
    trigger : str
        Order after which all processes are killed, or ``steady``.
    orders : int
        Orders of that name that the ranks have carried out by then.
    losses : int
        Losses in a row, each `DOWN_S` after the start of the processes.
    servers : bool
        True if the ranks lose power, too, and return in a new epoch.
    store : str
        Fault of the store from the return on; see `DeploymentStore`. With ``copy`` it
        comes back from a copy that is older than the servers' last rows.
    store_delay_s, store_for_s : float
        Seconds of each answer of the store, and for how long both last.
    answer_s : float
        Seconds of each answer of a rank.
    late_ratio : float
        Fraction of the orders that ranks carry out late.
    absent : tuple of int
        Ranks whose agents come back late.
    absent_s : float
        Seconds by which they are late; infinite if they never return.
    share : float
        Share of a processor that each agent and gateway gets.
    changed : bool
        True if the operators change the configuration just before the loss.
    reports : bool
        True if the store has crash reports of the last minutes.
    new_ids : bool
        True if the ranks, which must lose power, too, return under new ids.
    """

    trigger: str = "steady"
    orders: int = 1
    losses: int = 1
    servers: bool = False
    store: str = ""
    store_delay_s: float = 0.0
    store_for_s: float = NEVER
    answer_s: float = 0.0
    late_ratio: float = 0.0
    absent: tuple[int, ...] = ()
    absent_s: float = 20.0
    share: float = 1.0
    changed: bool = False
    reports: bool = False
    new_ids: bool = False


class LossError(ValueError):
    """Raised if a loss or the size of a deployment cannot be played."""


def check_size(group: int, gateways: int) -> None:
    """Raise `LossError` if a deployment has too few or too many processes."""
    if group < 2 or gateways < 1:
        raise LossError(f"GROUP={group} GATEWAYS={gateways}: at least 2 and 1")
    if group + gateways > MAX_PROCESSES:
        raise LossError(
            f"GROUP={group} GATEWAYS={gateways}: {group + gateways} processes, "
            f"at most {MAX_PROCESSES}"
        )


def parse_loss(text: str, base: Loss) -> Loss:
    """Return a loss with fields replaced, such as ``trigger=hold,answer_s=0.03``.

    Ranks of ``absent`` are separated by ``+``.

    Raises
    ------
    LossError
        If a field does not exist or its value cannot be used.
    """
    fields: dict[str, object] = {}
    for item in filter(None, text.split(",")):
        name, _, value = item.partition("=")
        if name not in Loss._fields:
            raise LossError(f"LOSS: unknown field {name!r}; one of {Loss._fields}")
        kind = type(getattr(base, name))
        try:
            if kind is tuple:
                fields[name] = tuple(int(rank) for rank in value.split("+") if rank)
            elif kind is bool:
                fields[name] = {"0": False, "1": True}[value]
            else:
                fields[name] = kind(value)
        except (KeyError, ValueError):
            raise LossError(f"LOSS: {name}={value!r} is no {kind.__name__}") from None
    loss = base._replace(**fields)
    if loss.trigger not in TRIGGERS:
        raise LossError(f"LOSS: trigger={loss.trigger!r} is not one of {TRIGGERS}")
    if loss.store not in STORE_FAULTS:
        raise LossError(f"LOSS: store={loss.store!r} is not one of {STORE_FAULTS}")
    if not 0.0 < loss.share <= 1.0:
        raise LossError(f"LOSS: share={loss.share} is not above 0 and at most 1")
    return loss


def draw_loss(rng: random.Random, group: int) -> Loss:
    """Return a loss with up to three disturbances on the way back."""
    trigger = rng.choice(TRIGGERS)
    loss = Loss(trigger, orders=rng.choice((1, group // 2)) if trigger != "go" else 1)
    loss = loss._replace(losses=rng.choice((1, 1, 2)), servers=rng.random() < 0.3)
    loss = loss._replace(
        changed=rng.random() < 0.3,
        reports=rng.random() < 0.3,
        new_ids=loss.servers and rng.random() < 0.5,
    )
    if rng.random() < 0.15:
        loss = loss._replace(share=rng.choice((0.3, 0.6)))
    for disturbance in rng.sample(
        ("store", "ranks", "agents", "late"), rng.randint(0, 3)
    ):
        if disturbance == "store":
            fault = rng.choice(STORE_FAULTS)
            delay_s = 0.0 if fault else rng.choice((0.3, 1.0))
            for_s = rng.choice((4.0, 8.0)) if fault not in ("", "copy") else NEVER
            loss = loss._replace(store=fault, store_delay_s=delay_s, store_for_s=for_s)
        elif disturbance == "ranks":
            loss = loss._replace(answer_s=rng.choice((0.03, 0.06, 0.12, 0.3)))
        elif disturbance == "late":
            loss = loss._replace(late_ratio=0.2)
        else:
            count = rng.choice((1, max(1, group // 3)))
            absent = {0, *rng.sample(range(group), count - 1)}
            late_s = rng.choice((4.0, 20.0, NEVER))
            loss = loss._replace(absent=tuple(sorted(absent)), absent_s=late_s)
    return loss


class Sent(NamedTuple):
    """Request of a caller; times are monotonic."""

    at: float
    kind: str
    request_id: str
    status: int | None
    served: bool


class Outcome(NamedTuple):
    """Result of one run.

    Attributes
    ----------
    first_served_s : float
        Seconds from the return to the first request that was served; infinite if none.
    before, late, again : tuple of int
        Requests sent and served: before the loss, after `RECOVER_S`, and in the first
        seconds after `SERVED_AGAIN_S`.
    passes : int
        Passes that the group has begun.
    orders : int
        Orders that ranks have received since the return.
    broken : list of str
        A line for each broken rule.
    slow : list of str
        A line for each missed target of our own.
    ended : list of str
        Processes that ended by themselves, as those that the kernel kills.
    logs : str
        Folder with the logs of all processes, which is kept if a rule was broken.
    """

    loss: Loss
    first_served_s: float
    before: tuple[int, int]
    late: tuple[int, int]
    again: tuple[int, int]
    passes: int
    orders: int
    broken: list[str]
    slow: list[str]
    ended: list[str]
    logs: str


class DeploymentWorld(Fleet):
    """Processes of a deployment, with its store, ranks, plain servers and callers."""

    def __init__(self, rng: random.Random, group: int, gateways: int) -> None:
        super().__init__()
        self.mutation = ""
        self.rng = rng
        self.store = DeploymentStore()
        self.group = SlowRankGroup(group, Record(io.StringIO()), rng)
        self.group.is_uneven = False
        self.plain = [DeploymentServer(f"plain-{n}") for n in range(PLAIN_SERVERS)]
        self.prefix = loopback_prefix()
        self.fronts = [f"{self.prefix}.{10 + n}" for n in range(gateways)]
        self.sides = [f"{self.prefix}.{100 + n}" for n in range(group)]
        self.results: list[Sent] = []
        self.triggered = asyncio.Event()
        self._tasks: set[asyncio.Task] = set()

    @property
    def names(self) -> list[str]:
        """Return the names of all processes."""
        return [*map(self.front_name, range(len(self.fronts))), *self.side_names]

    @property
    def side_names(self) -> list[str]:
        """Return the names of the agents by rank."""
        return [f"side-{n}" for n in range(len(self.sides))]

    @staticmethod
    def front_name(number: int) -> str:
        """Return the name of a gateway."""
        return f"front-{number}"

    async def start(self) -> None:
        """Start everything."""
        self.port = free_port(self.sides[0])
        self.front_port = free_port(self.fronts[0])
        store_address = await self.store.start()
        await self.group.start(self.sides)
        for server in self.plain:
            await server.start()
            server.delay_s = 0.05
        routes = [
            route("draft", service=MODEL),
            route("list", kind="safe", service=PLAIN, timeoutMs=1500),
            route("book", kind="unsafe", service=PLAIN, timeoutMs=1500, maxAttempts=1),
        ]
        services = [{"name": MODEL, "engine": self.group.engine}, {"name": PLAIN}]
        self._config = {"version": 1, "routes": routes, "services": services}
        self.store.put("op", "config", self._config)
        self.write_rows()
        for number, ip in enumerate(self.fronts):
            self._start_process(
                self.front_name(number),
                "gateway",
                f"node=front-{number}\nip={ip}\nlisten.front={ip}:{self.front_port}\n"
                f"listen.ready={ip}:{self.front_port + 1}\n"
                f"provider.addr={store_address}\n",
            )
        for number, ip in enumerate(self.sides):
            self._start_process(
                self.side_names[number],
                "agent",
                f"node=side-{number}\nip={ip}\nlimits.linkMbps=10\n"
                f"app={self.group.ranks[number].address}\nservice={MODEL}\n"
                f"provider.addr={store_address}\n",
            )

    def _start_process(self, name: str, role: str, settings: str) -> None:
        path = self.folder / f"{name}.conf"
        ports = f"internalPorts={self.port},{self.port + 15}\n"
        path.write_text(f"zone={ZONE}\nzones.{ZONE}=region\n{ports}{settings}{BOUNDS}")
        metrics = "9464" if role == "gateway" else "9465"
        variable = f"SLATEHOIST_BOOT={path}"
        command = ["env", variable, sys.executable, str(LAUNCHER), role]
        self.spawn(name, [*command, "--metrics", metrics])

    def write_rows(self) -> None:
        """Write the rows of all servers, as their heartbeats do."""
        for rank in self.group.ranks:
            row = self.group.row(rank.number, MODEL)
            self.store.put("servers", self.group.server_id(rank.number), row)
        for server in self.plain:
            self.store.put("servers", server.server_id, server.row(PLAIN))

    def change_configuration(self) -> None:
        """Write a newer configuration, as the operators do."""
        self._config["version"] += 1
        self.store.put("op", "config", self._config)

    def write_reports(self) -> None:
        """Write crash reports of requests that no caller of the soak sends."""
        for number in range(CRASH_REPORTS):
            digest = f"{number % 20:032x}"
            report = {"digest": digest, "crash": f"c{number}"}
            self.store.put("crashes", f"{digest}/c{number}/front-gone", report)

    def remove_rows_of_ranks(self) -> None:
        """Remove the rows of ranks that return under new ids."""
        for rank in self.group.ranks:
            self.store.remove("servers", self.group.server_id(rank.number))

    def trigger_after(self, op: str, orders: int) -> None:
        """Set `triggered` when ranks have carried out that many orders of a name."""
        seen = 0

        def observe(rank: int, body: dict) -> None:
            nonlocal seen
            seen += body["op"] == op
            if seen >= orders:
                self.triggered.set()

        self.group.on_order = observe

    def run_in_background(self, work) -> None:
        """Run a coroutine until the end of the run."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def send_requests(self) -> None:
        """Send requests at an even rate until cancelled."""
        while True:
            self.run_in_background(self._send())
            await asyncio.sleep(1.0 / REQUESTS_PER_S)

    async def _send(self) -> None:
        kind, deadline_ms = "draft", DEADLINE_MS
        if self.rng.random() < PLAIN_RATIO:
            kind = self.rng.choice(("list", "book"))
            deadline_ms = PLAIN_DEADLINE_MS
        channel = Channel(f"{self.rng.choice(self.fronts)}:{self.front_port}")
        request_id, sent_at, status = new_id(), time.monotonic(), None
        headers = {"Host": HOST, "Request-Id": request_id}
        headers["Deadline-Ms"] = str(deadline_ms)
        if kind == "draft":
            headers.update({"Model": "m", "Token-Count": "714,80"})
            headers["Prompt-Prefix"] = f"5c1e07a2:40,{request_id}:674"
        served = False
        try:
            async with asyncio.timeout(deadline_ms / 1000 + 0.5):
                await channel.open()
                method = "GET" if kind == "list" else "POST"
                reply = await channel.request(method, f"/{kind}/1", headers)
            status, served = reply.status, reply.complete and reply.status == 200
        except (OSError, TimeoutError):
            pass
        finally:
            channel.close()
        self.results.append(Sent(sent_at, kind, request_id, status, served))

    def count(self, start: float, end: float) -> tuple[int, int]:
        """Return the requests that were sent in a span of time, and those served."""
        found = [sent.served for sent in self.results if start <= sent.at < end]
        return len(found), sum(found)

    async def limit_processor(self, name: str, share: float) -> None:
        """Stop and continue a process, so that it runs for a share of each period."""
        while True:
            self.signal(name, signal.SIGSTOP)
            await asyncio.sleep(SHARE_PERIOD_S * (1.0 - share))
            self.signal(name, signal.SIGCONT)
            await asyncio.sleep(SHARE_PERIOD_S * share)

    def kill_all(self) -> None:
        """Kill all processes in one moment, and wait until all have ended."""
        for name in self.names:
            self.signal(name, signal.SIGKILL)
        for name in self.names:
            self.processes[name].wait()

    async def return_processes(self, loss: Loss) -> None:
        """Start the processes again; those of `loss.absent` come late or never."""
        late = {self.side_names[rank] for rank in loss.absent}
        if self.mutation:
            self._mutate_commands()
        for name in self.names:
            if name not in late:
                self.restart(name)
        if late and loss.absent_s != NEVER:
            self.run_in_background(self._return_late(sorted(late), loss.absent_s))

    def _mutate_commands(self) -> None:
        """Let the processes be started by the launcher that applies the mutation."""
        mutant = [str(MUTANT_LAUNCHER), self.mutation]
        for name in self.names:
            command = self.commands[name]
            if str(LAUNCHER) in command:
                at = command.index(str(LAUNCHER))
                self.commands[name] = command[:at] + mutant + command[at + 1 :]

    async def _return_late(self, names: list[str], seconds: float) -> None:
        await asyncio.sleep(seconds)
        for name in names:
            # A later loss may have returned it already.
            if self.processes[name].poll() is not None:
                self.restart(name)

    def keep_copy(self) -> None:
        """Keep a copy of the store, from which it may come back."""
        self._copy = self.store.copy()

    def ended(self, loss: Loss) -> list[str]:
        """Return the processes that have ended and that the soak did not stop."""
        late = {self.side_names[rank] for rank in loss.absent}
        return [n for n in self.names if n not in late and self.processes[n].poll()]

    def disturb(self, loss: Loss) -> None:
        """Begin the disturbances that last while the processes return."""
        self.group.answer_s = loss.answer_s
        self.group.late_ratio = loss.late_ratio
        if loss.store == "copy":
            # The servers' heartbeats come back with the next ones.
            self.store.restore(self._copy)
            self.write_rows()
        else:
            self.store.fault = loss.store
        self.store.delay_s = loss.store_delay_s
        if loss.store_for_s != NEVER:
            self.run_in_background(self._calm_store(loss.store_for_s))

    async def _calm_store(self, after_s: float) -> None:
        await asyncio.sleep(after_s)
        self.store.fault, self.store.delay_s = "", 0.0

    async def stop(self) -> None:
        """Stop everything but the processes, which `Fleet` ends."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self.group.stop()
        for server in self.plain:
            await server.stop()
        await self.store.stop()


async def run_loss(
    seed: int, loss: Loss, group: int, gateways: int, mutation: str = ""
) -> Outcome:
    """Play one loss, and check what the callers and the ranks saw.

    Parameters
    ----------
    mutation : str
        Part that all processes leave out once they have been lost; see
        `soak.mutant_launch`. None if empty.
    """
    check_size(group, gateways)
    asyncio.get_running_loop().set_exception_handler(_log_unexpected)
    world = DeploymentWorld(random.Random(seed), group, gateways)
    async with world:
        await world.start()
        world.mutation = mutation
        try:
            outcome = await _run(world, loss)
            world.keeps_folder = bool(outcome.broken)
            return outcome
        finally:
            await world.stop()


def _log_unexpected(loop: asyncio.AbstractEventLoop, context: dict) -> None:
    """Log errors of the loop, but not the ends of connections that the soak cancels."""
    if not isinstance(context.get("exception"), asyncio.CancelledError):
        loop.default_exception_handler(context)


async def _wait_until_served(world: DeploymentWorld) -> None:
    async with asyncio.timeout(60.0):
        while not any(sent.served for sent in world.results):
            await asyncio.sleep(0.1)


async def _run(world: DeploymentWorld, loss: Loss) -> Outcome:
    world.run_in_background(world.send_requests())
    await _wait_until_served(world)
    began_at = time.monotonic()
    await asyncio.sleep(BEFORE_S)
    if loss.trigger != "steady":
        world.trigger_after(loss.trigger, loss.orders)
        world.group.is_uneven = True
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(TRIGGER_TIMEOUT_S):
                await world.triggered.wait()
    world.keep_copy()
    if loss.changed:
        world.change_configuration()
    if loss.reports:
        world.write_reports()
    lost_at = time.monotonic()
    for number in range(loss.losses):
        world.kill_all()
        if loss.servers:
            world.group.lose_power()
        await asyncio.sleep(DOWN_S)
        if loss.servers:
            if loss.new_ids:
                world.remove_rows_of_ranks()
            world.group.return_power(loss.new_ids)
            world.write_rows()
        if number == 0:
            world.disturb(loss)
        await world.return_processes(loss)
        if number + 1 < loss.losses:
            await asyncio.sleep(DOWN_S)
    back_at = time.monotonic()
    world.group.orders = 0
    if loss.share < 1.0:
        for name in world.names:
            world.run_in_background(world.limit_processor(name, loss.share))
    await asyncio.sleep(RECOVER_S + JUDGED_S + DEADLINE_MS / 1000 + 0.6)
    return _judge(world, loss, began_at, lost_at, back_at)


def _judge(
    world: DeploymentWorld, loss: Loss, began_at: float, lost_at: float, back_at: float
) -> Outcome:
    before = world.count(began_at, lost_at - DEADLINE_MS / 4000)
    late = world.count(back_at + RECOVER_S, back_at + RECOVER_S + JUDGED_S)
    well_at = back_at
    if loss.store_for_s != NEVER and (loss.store or loss.store_delay_s):
        well_at += loss.store_for_s
    again = world.count(well_at + SERVED_AGAIN_S, well_at + SERVED_AGAIN_S + JUDGED_S)
    served = [s.at - back_at for s in world.results if s.served and s.at >= back_at]
    first_s = min(served, default=NEVER)
    broken = []
    if late[1] < MIN_SERVED_RATIO * late[0]:
        broken.append(f"RECOVER: {late[1]} of {late[0]} served {RECOVER_S} s later")
    if world.group.violations:
        broken.append(f"MAP: passes with different maps: {world.group.violations[:3]}")
    runs = [request_id for server in world.plain for request_id in server.run_ids]
    for sent in (sent for sent in world.results if sent.kind == "book"):
        if runs.count(sent.request_id) > 1:
            broken.append(f"TWICE: {sent.request_id} ran more than once")
        if sent.status in NOT_RUN and sent.request_id in runs:
            broken.append(f"REFUSED: {sent.request_id} got {sent.status}, but ran")
    slow = []
    if first_s > well_at - back_at + FIRST_SERVED_S:
        slow.append(f"first request served was sent after {first_s:.1f} s")
    if before[0] and again[1] * before[0] < FORMER_RATIO * before[1] * again[0]:
        slow.append(f"{again[1]} of {again[0]} served after {SERVED_AGAIN_S} s")
    return Outcome(
        loss,
        round(first_s, 2),
        before,
        late,
        again,
        world.group.step,
        world.group.orders,
        broken,
        slow,
        world.ended(loss),
        str(world.folder) if broken else "",
    )


def format_outcome(seed: int, outcome: Outcome) -> str:
    """Return the result as one line of JSON."""
    changed = {
        name: value
        for name, value in outcome.loss._asdict().items()
        if value != Loss._field_defaults[name]
    }
    return json.dumps({"seed": seed, **outcome._asdict(), "loss": changed})
