"""Tests of the HTTP clients of the platform's services, without a network."""

import unittest

from scripted_session import ScriptedSession
from slatehoist.storage import (
    Check,
    ConflictError,
    OutcomeUnknownError,
    StoreDownError,
)
from slatehoist.storage.http import HttpInstanceList, HttpObjectStore, HttpTable

CUT_JSON = b'[{"key": "a", "ver'


class CutAnswerTests(unittest.IsolatedAsyncioTestCase):
    # Guards against a stored answer that was cut off and is replayed as a whole one.
    async def test_object_without_a_proved_end_is_not_returned(self):
        store = HttpObjectStore("http://store", ScriptedSession(200, b"part"))
        with self.assertRaises(StoreDownError):
            await store.get("a")
        framed = ScriptedSession(200, b"part", {"Content-Length": "4"})
        self.assertEqual(await HttpObjectStore("http://s", framed).get("a"), b"part")

    # Guards against a decoding error that ends the task which read or wrote.
    async def test_cut_answer_to_a_read_raises_a_store_error(self):
        table = HttpTable("http://store", ScriptedSession(200, CUT_JSON))
        instances = HttpInstanceList("http://store", ScriptedSession(200, CUT_JSON))
        for read in (table.get("t", "a"), table.scan("t"), instances.list()):
            with self.assertRaises(StoreDownError):
                await read

    async def test_conflict_whose_answer_is_cut_names_all_checked_rows(self):
        table = HttpTable("http://store", ScriptedSession(409, CUT_JSON))
        with self.assertRaises(ConflictError) as caught:
            await table.transact([Check("t", "a", 1), Check("t", "b", 2)], [])
        self.assertEqual(caught.exception.keys, [("t", "a"), ("t", "b")])


class StatusTests(unittest.IsolatedAsyncioTestCase):
    # Guards against a write that is taken for done: the service does not know the path.
    async def test_write_that_is_answered_not_found_is_not_taken_for_done(self):
        for status in (404, 409):
            session = ScriptedSession(status, b"")
            with self.subTest(status=status), self.assertRaises(OutcomeUnknownError):
                await HttpObjectStore("http://store", session).put("a", b"x")
        with self.assertRaises(OutcomeUnknownError):
            await HttpTable("http://store", ScriptedSession(404, b"")).transact([], [])


if __name__ == "__main__":
    unittest.main()
