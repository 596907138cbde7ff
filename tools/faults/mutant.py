"""Run the daemon with one mechanism switched off, for the mutation check.

Usage: ``mutant.py MECHANISM entry|sidecar --config FILE``. The product has no switches
for this: methods of its classes are replaced before the daemon starts.
"""

import sys

from slatehoist.coord import gates
from slatehoist.daemon.entry import keyed
from slatehoist.daemon.main import main
from slatehoist.daemon.sidecar import attempts, process, server
from slatehoist.routing import suspects


def _disable_tombstones() -> None:
    """Record no tombstones: an attempt reported as never seen may still run later."""
    attempts.AttemptTable.add_tombstone = lambda self, attempt_id, now: None


def _disable_incarnation_check() -> None:
    """Accept requests for the attempts of earlier incarnations of the sidecar."""
    original = server.AttemptServer.__init__

    def init(self, table, runner, incarnation, load, clock) -> None:
        original(self, table, runner, _AnyIncarnation(), load, clock)

    server.AttemptServer.__init__ = init


class _AnyIncarnation:
    """Incarnation that equals every other one."""

    __hash__ = None

    def __eq__(self, other: object) -> bool:
        return True


def _disable_claims() -> None:
    """Send attempts of a call with a key without claiming the key."""

    async def claim_key(self, peer, attempt_id) -> None:
        return None

    keyed.KeyedRequest.claim_key = claim_key


def _disable_fencing() -> None:
    """Accept orders with outdated fencing numbers or for earlier incarnations.

    Both checks are disabled together, because `RankGate._refusal_reason` makes both.
    """
    gates.RankGate._refusal_reason = lambda self, order: ""


def _disable_hold() -> None:
    """Confirm an arm without holding the rank before the step.

    The arm is not refused for any other reason either, such as a voided step or a map
    that is not loaded.
    """

    async def arm(self, order) -> str:
        self.armed = (order.epoch, order.step)
        return ""

    gates.RankGate._handle_arm = arm


def _disable_drain() -> None:
    """Drain by only waiting, without limit, until no attempt is live.

    It does not refuse new work, notify the peers, release the coordinator's lease or
    pause after the last attempt.
    """

    async def drain(self) -> None:
        import asyncio

        while self.table.live():
            await asyncio.sleep(0.1)

    process.SidecarProcess.drain = drain


def _disable_suspects() -> None:
    """Ignore crash reports, so that no request is ever suspected."""
    suspects.SuspectTracker.report_crash = lambda self, crash_id, digests, now: False


MECHANISMS = {
    "tombstone": _disable_tombstones,
    "incarnation": _disable_incarnation_check,
    "claim": _disable_claims,
    "fence": _disable_fencing,
    "arm": _disable_hold,
    "drain": _disable_drain,
    "suspects": _disable_suspects,
}

if __name__ == "__main__":
    MECHANISMS[sys.argv.pop(1)]()
    main()
