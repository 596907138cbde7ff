"""Story of one request, joined from the event logs of several processes."""

import json
from collections.abc import Iterable
from typing import Any, NamedTuple

#: Fields that name the line itself rather than what happened.
_ENVELOPE = frozenset(
    {"time", "level", "logger", "event", "role", "instance", "request"}
)


class Event(NamedTuple):
    """One line of a log."""

    time: float
    instance: str
    name: str
    fields: dict[str, Any]


def parse_line(line: str) -> Event | None:
    """Read a line; None if it is no event.

    What stands before the event, such as a collector's own time, is skipped.
    """
    start = line.find("{")
    if start < 0:
        return None
    try:
        doc = json.loads(line[start:])
    except ValueError:
        return None
    if not isinstance(doc, dict) or "event" not in doc:
        return None
    fields = {key: value for key, value in doc.items() if key not in _ENVELOPE}
    if "request" in doc:
        fields["request"] = doc["request"]
    time = doc.get("time")
    return Event(
        time if isinstance(time, int | float) else 0.0,
        str(doc.get("instance", "")),
        str(doc["event"]),
        fields,
    )


def story(lines: Iterable[str], request_id: str, around_s: float) -> list[Event]:
    """Give the events of a request, and what its processes came to believe meanwhile.

    Parameters
    ----------
    around_s : float
        Seconds before the first and after the last event of the request within which
        other events of the same instances, and of all agents, are told.
    """
    events = [event for line in lines if (event := parse_line(line)) is not None]
    own = [e for e in events if e.fields.get("request") == request_id]
    if not own:
        return []
    first = min(event.time for event in own) - around_s
    last = max(event.time for event in own) + around_s
    instances = {event.instance for event in own}
    beliefs = [
        event
        for event in events
        if "request" not in event.fields
        and first <= event.time <= last
        and (event.instance in instances or event.name in GROUP_EVENTS)
    ]
    return sorted([*own, *beliefs])


#: Events of agents that concern all requests of their group.
GROUP_EVENTS = frozenset(
    {"switch_begun", "switch_ended", "hold_settled", "rank_lost", "leads"}
)


def format_story(events: list[Event]) -> list[str]:
    """Write events as lines: seconds from the first, instance, event, fields."""
    if not events:
        return []
    start = events[0].time
    width = max(len(event.instance) for event in events)
    return [
        f"{event.time - start:+8.3f} s  {event.instance:{width}}  {event.name}  "
        + " ".join(f"{k}={json.dumps(v)}" for k, v in event.fields.items())
        for event in events
    ]
