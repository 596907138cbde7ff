import unittest

from hypothesis import given
from hypothesis import strategies as st

from slatehoist.wire import FrameDecoder, WireError, encode_frame
from slatehoist.wire.messages import Accepted, Broken, Data, Final, Head, NotRun

COUNTS = st.integers(0, 2**40)
LOADS = st.floats(0, 1000)
FRAMES = st.one_of(
    st.builds(Accepted, st.text(max_size=8)),
    st.builds(
        NotRun, st.text(max_size=8), st.just("draining"), st.floats(0, 60), LOADS
    ),
    st.builds(Head, st.integers(100, 599), st.just({"a": "b"})),
    st.builds(Data, COUNTS, st.binary(max_size=64)),
    st.builds(
        Final, st.text(max_size=8), COUNTS, st.just("d"), tokens=COUNTS, load=LOADS
    ),
    st.builds(Broken, st.text(max_size=8), st.text(max_size=8)),
)


class FrameDecoderTests(unittest.TestCase):
    @given(st.lists(FRAMES, max_size=12), st.integers(1, 17))
    def test_stream_split_at_any_offset_yields_all_frames(self, frames, size):
        data = b"".join(encode_frame(frame) for frame in frames)
        decoder = FrameDecoder()
        found = []
        for start in range(0, len(data), size):
            found += decoder.feed(data[start : start + size])
        self.assertEqual(found, frames)

    @given(st.binary(min_size=5, max_size=64))
    def test_random_bytes_raise_wire_error_or_wait_for_more(self, data):
        try:
            FrameDecoder().feed(data)
        except WireError:
            pass

    def test_frame_above_maximum_length_is_refused(self):
        with self.assertRaises(WireError):
            FrameDecoder().feed(b"\xff\xff\xff\xff\x03")
