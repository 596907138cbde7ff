"""Table of the stages from the start of each process until it serves, from its logs."""

from collections.abc import Iterable
from typing import NamedTuple

from slatehoist.cli.trace import Event, parse_line

#: Event that begins a start.
_START = "starting"
#: Stages that an event of another name marks.
_STAGES_BY_EVENT = {
    "configuration_read": "configuration",
    "endpoints_changed": "servers",
    "started": "listening",
    "rank_found": "rank_found",
    "hold_settled": "hold_settled",
}
#: Stages of each role in their usual order.
GATEWAY_STAGES = ("configuration", "servers", "listening", "ready", "first_answer")
AGENT_STAGES = (
    "listening",
    "rank_found",
    "list_read",
    "leader_known",
    "map_known",
    "hold_settled",
)
#: Events that say why a process serves nothing.
STALL_EVENTS = ("not_started", "service_stalled", "group_stalled")


class Start(NamedTuple):
    """One start of a process.

    Attributes
    ----------
    time : float
        Seconds since the epoch.
    stages : dict of str to float
        Seconds from the start until each stage was reached first.
    stalls : dict of str to int
        Number of lines of each event of `STALL_EVENTS`.
    """

    instance: str
    time: float
    stages: dict[str, float]
    stalls: dict[str, int]

    @property
    def order(self) -> tuple[str, ...]:
        """Return the stages of the process's role in their usual order."""
        is_agent = "rank_found" in self.stages or "list_read" in self.stages
        return AGENT_STAGES if is_agent else GATEWAY_STAGES


def collect_starts(lines: Iterable[str]) -> list[Start]:
    """Return the starts of all processes whose log lines are given, by time."""
    starts: list[Start] = []
    latest: dict[str, Start] = {}
    for line in lines:
        event = parse_line(line)
        if event is None:
            continue
        if event.name == _START:
            start = Start(event.instance, event.time, {}, {})
            latest[event.instance] = start
            starts.append(start)
        elif event.instance in latest:
            _add_event(latest[event.instance], event)
    return sorted(starts, key=lambda start: (start.time, start.instance))


def _add_event(start: Start, event: Event) -> None:
    stage = _STAGES_BY_EVENT.get(event.name)
    if event.name == "start_stage":
        stage = str(event.fields.get("stage"))
    if stage is not None:
        start.stages.setdefault(stage, event.time - start.time)
    if event.name in STALL_EVENTS:
        start.stalls[event.name] = start.stalls.get(event.name, 0) + 1


def start_row(start: Start, first: float) -> list[str]:
    """Return the cells of one start; its time is relative to `first`."""
    stages = [
        f"{stage} {start.stages[stage]:.2f}" if stage in start.stages else f"{stage} -"
        for stage in start.order
    ]
    stalls = [f"{name} x{count}" for name, count in sorted(start.stalls.items())]
    return [
        start.instance,
        f"{start.time - first:+.2f}",
        ", ".join(stages),
        ", ".join(stalls) or "-",
    ]


START_HEADS = ["INSTANCE", "START", "STAGES (SECONDS FROM THE START)", "STALLS"]
