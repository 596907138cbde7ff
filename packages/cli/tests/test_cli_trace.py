"""Tests of the timeline of a request, merged from the logs of several processes."""

import json
import unittest

from slatehoist.cli.trace import collect_events, format_events


def make_line(time: float, instance: str, event: str, **fields) -> str:
    """Build a log line of a process, with the prefix of a log collector."""
    doc = {"time": time, "instance": instance, "event": event, **fields}
    return f"  {time:.4f} {instance} {json.dumps(doc)}\n"


class TraceTests(unittest.TestCase):
    LINES = [
        make_line(1.0, "front-1", "attempt", request="a", outcome="broken"),
        make_line(1.2, "front-2", "refused", request="b"),
        make_line(0.9, "front-1", "endpoints_changed", removed=["e"]),
        make_line(1.1, "side-1", "switch_ended", result="switched"),
        make_line(9.0, "front-1", "draining"),
        "no event\n",
        '{"half": \n',
    ]

    def test_events_of_the_request_and_related_events_are_collected(self):
        events = collect_events(self.LINES, "a", 0.5)
        names = [event.name for event in events]
        self.assertEqual(names, ["endpoints_changed", "attempt", "switch_ended"])
        self.assertIn('outcome="broken"', format_events(events)[1])

    # Guards against a TypeError: the fields of events are dictionaries.
    def test_events_of_the_same_time_and_name_keep_their_order(self):
        lines = [
            make_line(1.0, "front-1", "attempt", request="a", attempt=number)
            for number in (1, 2)
        ]
        events = collect_events(lines, "a", 0.5)
        self.assertEqual([event.fields["attempt"] for event in events], [1, 2])

    def test_unknown_request_has_no_events(self):
        self.assertEqual(collect_events(self.LINES, "zzz", 1.0), [])


if __name__ == "__main__":
    unittest.main()
