"""Tests that only platform/ contains names of the users' platform."""

import pathlib
import platform
import re
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent

#: Names of headers, paths, fields and settings that only the adapter may contain.
NAMES = (
    "Request-Id",
    "Deadline-Ms",
    "Expect-Instance",
    "Server-Stamp",
    "Server-Load",
    "Not-Run",
    "Token-Count",
    "Prompt-Prefix",
    "Length-Hint",
    "Weight-Versions",
    "rows-tx",
    "rows-get",
    "rows-feed",
    "blob-put",
    "/api/report",
    "/api/picked",
    "/api/order",
    "/api/readyz",
    "SLATEHOIST_BOOT",
    "timeoutMs",
    "goalMs",
    "maxAttempts",
    "gapAimMs",
    "allowedRegions",
    "evacMs",
    "apiKeys",
    "coldLeftMs",
    "coldPerS",
    "Cold-Ms",
    "expectRev",
    "setKeys",
    "sinceRev",
    "internalPorts",
    "kvTotal",
)


class PlatformBoundaryTests(unittest.TestCase):
    def test_packages_do_not_contain_names_of_the_platform(self):
        names = "|".join(re.escape(name) for name in NAMES)
        pattern = re.compile(rf"(?<![\w-])({names})(?!\w)")
        found = [
            f"{path.relative_to(ROOT)}: {match.group()}"
            for path in sorted(ROOT.glob("packages/*/src/**/*.py"))
            if (match := pattern.search(path.read_text()))
        ]
        self.assertEqual(found, [])

    def test_platform_folder_does_not_shadow_the_standard_module(self):
        self.assertFalse((ROOT / "platform" / "__init__.py").exists())
        self.assertTrue(hasattr(platform, "python_implementation"))

    def test_packages_do_not_import_the_adapter(self):
        pattern = re.compile(r"^\s*(from|import) adapter\b", re.MULTILINE)
        found = [
            str(path.relative_to(ROOT))
            for path in ROOT.glob("packages/*/src/**/*.py")
            if pattern.search(path.read_text())
        ]
        self.assertEqual(found, [])


if __name__ == "__main__":
    unittest.main()
