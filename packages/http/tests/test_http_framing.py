"""Tests of what marks the end of a response body."""

import unittest

from multidict import CIMultiDict

from slatehoist.http import Framing, response_framing


class FramingTests(unittest.TestCase):
    def test_framing_follows_the_headers(self):
        cases = (
            ({}, Framing.CONNECTION),
            ({"Content-Length": "0"}, Framing.LENGTH),
            ({"transfer-encoding": "Chunked"}, Framing.CHUNKED),
            ({"Transfer-Encoding": "gzip, chunked"}, Framing.CHUNKED),
            ({"Transfer-Encoding": "chunked, gzip"}, Framing.CONNECTION),
            ({"Transfer-Encoding": "gzip", "Content-Length": "3"}, Framing.CONNECTION),
        )
        for headers, framing in cases:
            with self.subTest(headers=headers):
                actual = response_framing("GET", 200, CIMultiDict(headers))
                self.assertEqual(actual, framing)

    def test_response_without_a_body_is_whole_with_its_head(self):
        for method, status in (("HEAD", 200), ("GET", 204), ("GET", 304), ("GET", 101)):
            with self.subTest(method=method, status=status):
                self.assertEqual(response_framing(method, status, {}), Framing.NONE)


if __name__ == "__main__":
    unittest.main()
