"""Timeline of one request, merged from the event logs of several processes."""

import json
from collections.abc import Iterable
from typing import Any, NamedTuple

#: Keys of the log line itself, as opposed to the fields of the event. ``request`` is
#: added back as the last field.
_COMMON_KEYS = frozenset(
    {"time", "level", "logger", "event", "role", "instance", "request"}
)


class Event(NamedTuple):
    """Event from one line of a log."""

    time: float
    instance: str
    name: str
    fields: dict[str, Any]


def parse_line(line: str) -> Event | None:
    """Parse a log line; return None if it is not an event.

    Text before the JSON object, such as a log collector's timestamp, is skipped.
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
    fields = {key: value for key, value in doc.items() if key not in _COMMON_KEYS}
    if "request" in doc:
        fields["request"] = doc["request"]
    time = doc.get("time")
    return Event(
        time if isinstance(time, int | float) else 0.0,
        str(doc.get("instance", "")),
        str(doc["event"]),
        fields,
    )


def collect_events(
    lines: Iterable[str], request_id: str, around_s: float
) -> list[Event]:
    """Return the events of a request and the related events of the same period.

    Parameters
    ----------
    around_s : float
        Seconds before the first and after the last event of the request. Within this
        period, events without a request id are included if they come from an instance
        that handled the request or are in `GROUP_EVENTS`.
    """
    events = [event for line in lines if (event := parse_line(line)) is not None]
    request_events = [e for e in events if e.fields.get("request") == request_id]
    if not request_events:
        return []
    first = min(event.time for event in request_events) - around_s
    last = max(event.time for event in request_events) + around_s
    instances = {event.instance for event in request_events}
    related_events = [
        event
        for event in events
        if "request" not in event.fields
        and first <= event.time <= last
        and (event.instance in instances or event.name in GROUP_EVENTS)
    ]
    # The sort is stable, so events of the same time stay in the order of the logs.
    return sorted([*request_events, *related_events], key=_time_and_instance)


def _time_and_instance(event: Event) -> tuple[float, str]:
    return event.time, event.instance


#: Events of agents that affect all requests of their group.
GROUP_EVENTS = frozenset(
    {"switch_begun", "switch_ended", "hold_settled", "rank_lost", "leads"}
)


def format_events(events: list[Event]) -> list[str]:
    """Format events as lines: seconds since the first, instance, event, fields."""
    if not events:
        return []
    start = events[0].time
    width = max(len(event.instance) for event in events)
    return [
        f"{event.time - start:+8.3f} s  {event.instance:{width}}  {event.name}  "
        + " ".join(f"{k}={json.dumps(v)}" for k, v in event.fields.items())
        for event in events
    ]
