"""Run every test of the workspace and print ``N passed, N failed`` as the last line.

Tests listed in KNOWN-RED.txt are run and printed, but do not fail the run.
Usage: ``run_tests.py [PATTERN]`` runs the tests whose id contains the pattern.
"""

import pathlib
import sys
import unittest

from hypothesis import settings

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_FAILURES_FILE = ROOT / "KNOWN-RED.txt"
#: Prefix of the lines in KNOWN-RED.txt that give the id of a test.
ENTRY_PREFIX = "test: "


def read_known_failures() -> set[str]:
    """Return the ids of the tests listed in KNOWN-RED.txt."""
    if not KNOWN_FAILURES_FILE.exists():
        return set()
    lines = KNOWN_FAILURES_FILE.read_text().splitlines()
    return {
        line.removeprefix(ENTRY_PREFIX).strip()
        for line in lines
        if line.startswith(ENTRY_PREFIX)
    }


def load_tests() -> unittest.TestSuite:
    """Load the unit tests of each package and the tests of whole processes."""
    # The adapter in platform/ is not an installed package: the users prescribe the name
    # of its folder.
    sys.path[:0] = [str(ROOT / "platform"), str(ROOT / "tests")]
    suite = unittest.TestSuite()
    for folder in [*sorted(ROOT.glob("packages/*/tests")), ROOT / "tests"]:
        sys.path.insert(0, str(folder))
        for path in sorted(folder.glob("test_*.py")):
            suite.addTests(unittest.defaultTestLoader.loadTestsFromName(path.stem))
    return suite


def flatten(suite: unittest.TestSuite) -> list[unittest.TestCase]:
    """Return the test cases of a suite and of its nested suites."""
    tests = []
    for item in suite:
        tests += flatten(item) if isinstance(item, unittest.TestSuite) else [item]
    return tests


def main() -> int:
    """Run the selected tests; return the exit status."""
    settings.register_profile(
        "deterministic", derandomize=True, deadline=None, database=None
    )
    settings.load_profile("deterministic")
    pattern = sys.argv[1] if len(sys.argv) > 1 else ""
    tests = [test for test in flatten(load_tests()) if pattern in test.id()]
    runner = unittest.TextTestRunner(stream=sys.stdout, verbosity=2)
    result = runner.run(unittest.TestSuite(tests))
    # A failed subtest counts as a failure of the test that contains it.
    failing = {
        getattr(test, "test_case", test).id()
        for test, _ in [*result.failures, *result.errors]
    }
    failing |= {test.id() for test in result.unexpectedSuccesses}
    known_failures = read_known_failures()
    for test_id in sorted(failing & known_failures):
        print(f"known red: {test_id}")
    failed = len(failing - known_failures)
    passed = result.testsRun - len(failing)
    print(f"{passed} passed, {failed} failed")
    return 1 if failed or not passed else 0


if __name__ == "__main__":
    sys.exit(main())
