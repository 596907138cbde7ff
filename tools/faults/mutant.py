"""Run the daemon with one mechanism switched off, for the mutation check.

Usage: ``mutant.py MECHANISM entry|sidecar --config FILE``. The product has no such
switches: the mechanisms are replaced here, from outside.
"""

import sys

from slatehoist.coord import gates
from slatehoist.daemon.entry import keyed
from slatehoist.daemon.main import main
from slatehoist.daemon.sidecar import attempts, process, server
from slatehoist.routing import suspects


def _tombstone() -> None:
    attempts.AttemptTable.add_tombstone = lambda self, attempt_id, now: None


def _incarnation() -> None:
    """Let a new incarnation answer for the old one's attempts."""
    original = server.AttemptServer.__init__

    def init(self, table, runner, incarnation, load, clock) -> None:
        original(self, table, runner, _Anything(), load, clock)

    server.AttemptServer.__init__ = init


class _Anything:
    """Compare equal to every incarnation."""

    __hash__ = None

    def __eq__(self, other: object) -> bool:
        return True


def _claim() -> None:
    async def claim_key(self, peer, attempt_id) -> None:
        return None

    keyed.KeyedRequest.claim_key = claim_key


def _fence() -> None:
    gates.RankGate._refusal_reason = lambda self, order: ""


def _arm() -> None:
    """Promise to wait without holding the rank."""

    async def arm(self, order) -> str:
        self.armed = (order.epoch, order.step)
        return ""

    gates.RankGate._handle_arm = arm


def _drain() -> None:
    """Say nothing of leaving and refuse nothing."""

    async def drain(self) -> None:
        import asyncio

        while self.table.live():
            await asyncio.sleep(0.1)

    process.SidecarProcess.drain = drain


def _suspects() -> None:
    suspects.SuspectTracker.report_crash = lambda self, crash_id, digests, now: False


MECHANISMS = {
    "tombstone": _tombstone,
    "incarnation": _incarnation,
    "claim": _claim,
    "fence": _fence,
    "arm": _arm,
    "drain": _drain,
    "suspects": _suspects,
}

if __name__ == "__main__":
    MECHANISMS[sys.argv.pop(1)]()
    main()
