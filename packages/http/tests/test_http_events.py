"""Tests of the splitting of event streams."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from slatehoist.http import EventSplitter, is_event_stream

LINE_ENDS = (b"\n", b"\r\n", b"\r")


class EventSplitterTests(unittest.TestCase):
    def test_only_whole_events_are_returned(self):
        for end in LINE_ENDS:
            with self.subTest(end=end):
                splitter = EventSplitter()
                events = end.join((b"id: 1", b"data: a", b"", b"id: 2", b"", b""))
                self.assertEqual(splitter.feed(events + b"id: 3"), events)
                self.assertEqual(splitter.rest, b"id: 3")
                self.assertEqual(splitter.last_event_id, "2")

    def test_stream_that_is_cut_anywhere_within_an_event_ends_within_it(self):
        for end in LINE_ENDS:
            event = end.join((b"id: 2", b"event: a", b"data: b", b"", b""))
            # A cut between the bytes of the last line end leaves a whole event.
            whole_from = len(event) - len(end) + 1
            for size in range(1, whole_from):
                with self.subTest(end=end, size=size):
                    splitter = EventSplitter()
                    splitter.feed(b"id: 1\n\n" + event[:size])
                    self.assertTrue(splitter.within_event)

    def test_comments_and_blank_lines_after_the_last_event_are_not_within_one(self):
        for tail in (b"", b"\n", b"\r\n", b": keep-alive\n", b"\n: a\r\n: b\r"):
            with self.subTest(tail=tail):
                splitter = EventSplitter()
                splitter.feed(b"data: a\n\n" + tail)
                self.assertFalse(splitter.within_event)

    def test_unfinished_comment_line_is_the_end_of_a_cut_stream(self):
        splitter = EventSplitter()
        splitter.feed(b"data: a\n\n: keep")
        self.assertTrue(splitter.within_event)

    @given(
        st.lists(
            st.sampled_from([b"id: 1", b"data: a", b":", b"\n", b"\r", b"\r\n"]),
            max_size=12,
        ),
        st.lists(st.integers(1, 4), max_size=12),
    )
    def test_all_bytes_are_returned_in_order_however_they_arrive(self, parts, sizes):
        stream = b"".join(parts)
        splitter, returned, rest = EventSplitter(), b"", stream
        for size in [*sizes, len(stream)]:
            returned += splitter.feed(rest[:size])
            rest = rest[size:]
        whole = EventSplitter()
        whole.feed(stream)
        self.assertEqual(returned + splitter.rest, stream)
        self.assertEqual(splitter.within_event, whole.within_event)


class MediaTypeTests(unittest.TestCase):
    def test_media_type_is_read_without_its_parameters(self):
        for content_type, expected in (
            ("text/event-stream", True),
            ("Text/Event-Stream; charset=utf-8", True),
            ("application/json", False),
            ("text/event-streams", False),
        ):
            with self.subTest(content_type=content_type):
                headers = {"Content-Type": content_type}
                self.assertEqual(is_event_stream(headers), expected)
        for default in (False, True):
            self.assertEqual(is_event_stream({}, default), default)


if __name__ == "__main__":
    unittest.main()
