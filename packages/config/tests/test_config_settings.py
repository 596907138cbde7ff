import os
import unittest
from unittest import mock

from slatehoist.config import InvalidError, parse_settings

VALID_SETTINGS = """
[instance]
name = "entry-1"
zone = "a"
listen = "127.0.0.1:8000"
control = "127.0.0.1:8001"

[platform]
table = "http://127.0.0.1:9000"
objects = "http://127.0.0.1:9000"
instances = "http://127.0.0.1:9000"
weights = "http://127.0.0.1:9000"

[[token]]
token = "0123456789"
member = "andina"
team = "router"
"""


class SettingsTests(unittest.TestCase):
    def test_missing_keys_get_their_defaults(self):
        cfg = parse_settings("entry", VALID_SETTINGS)
        self.assertEqual(cfg.retry.max_tries, 3)
        self.assertEqual(cfg.token[0].member, "andina")

    def test_all_findings_are_reported_with_their_lines(self):
        text = VALID_SETTINGS.replace('"127.0.0.1:8000"', '"localhost:8000"')
        text = text.replace('zone = "a"', 'zone = "a"\ncolour = "red"')
        text += "\n[retry]\nmax_tries = 0\n"
        with self.assertRaises(InvalidError) as caught:
            parse_settings("entry", text, "e.toml")
        found = {(f.key, f.line) for f in caught.exception.findings}
        self.assertEqual(
            found,
            {("instance.listen", 6), ("instance.colour", 5), ("retry.max_tries", 21)},
        )

    def test_environment_variable_overrides_token(self):
        with mock.patch.dict(os.environ, {"SLATEHOIST_TOKEN_0": "from-the-env"}):
            cfg = parse_settings("entry", VALID_SETTINGS)
        self.assertEqual(cfg.token[0].token, "from-the-env")

    def test_invalid_toml_is_a_finding(self):
        with self.assertRaises(InvalidError) as caught:
            parse_settings("entry", "[instance", "e.toml")
        self.assertEqual(caught.exception.findings[0].id, "settings.file")
