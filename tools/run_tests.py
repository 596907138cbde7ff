"""Run every test of the workspace and close with ``N passed, N failed``.

Tests that KNOWN-RED.txt names are run and printed, but do not fail the run.
Usage: ``run_tests.py [PATTERN]`` runs the tests whose id contains the pattern.
"""

import pathlib
import sys
import unittest

from hypothesis import settings

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
#: Words of a KNOWN-RED.txt line that names a test.
ENTRY_PREFIX = "test: "


def known_red() -> set[str]:
    """Read the ids of the tests that are known to fail."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text().splitlines()
    return {
        line.removeprefix(ENTRY_PREFIX).strip()
        for line in lines
        if line.startswith(ENTRY_PREFIX)
    }


def load_tests() -> unittest.TestSuite:
    """Load the tests beside each package and those of whole processes."""
    # The adapter is not installed: its folder is named by the users.
    sys.path[:0] = [str(ROOT / "platform"), str(ROOT / "tests")]
    suite = unittest.TestSuite()
    for folder in [*sorted(ROOT.glob("packages/*/tests")), ROOT / "tests"]:
        sys.path.insert(0, str(folder))
        for path in sorted(folder.glob("test_*.py")):
            suite.addTests(unittest.defaultTestLoader.loadTestsFromName(path.stem))
    return suite


def flatten(suite: unittest.TestSuite) -> list[unittest.TestCase]:
    """List the single tests of a suite."""
    tests = []
    for item in suite:
        tests += flatten(item) if isinstance(item, unittest.TestSuite) else [item]
    return tests


def main() -> int:
    """Run the tests."""
    settings.register_profile("same", derandomize=True, deadline=None, database=None)
    settings.load_profile("same")
    pattern = sys.argv[1] if len(sys.argv) > 1 else ""
    tests = [test for test in flatten(load_tests()) if pattern in test.id()]
    runner = unittest.TextTestRunner(stream=sys.stdout, verbosity=2)
    result = runner.run(unittest.TestSuite(tests))
    # A subtest that failed counts as the test that it belongs to.
    bad = {
        getattr(test, "test_case", test).id()
        for test, _ in [*result.failures, *result.errors]
    }
    bad |= {test.id() for test in result.unexpectedSuccesses}
    red = known_red()
    for test_id in sorted(bad & red):
        print(f"known red: {test_id}")
    failed = len(bad - red)
    passed = result.testsRun - len(bad)
    print(f"{passed} passed, {failed} failed")
    return 1 if failed or not passed else 0


if __name__ == "__main__":
    sys.exit(main())
