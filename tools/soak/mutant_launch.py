"""Launcher whose processes leave out one part that brings a deployment back.

Usage: ``mutant_launch.py MUTATION ROLE ...``; the rest are the launcher's arguments.
The checks of the soak must catch each mutation; see docs/design/recovery.md.
"""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parents[2] / "platform"))

import launch  # noqa: E402
from adapter.documents import PlatformSource  # noqa: E402
from adapter.ranks import PlatformGroups  # noqa: E402

from slatehoist.http import AnswerTimes  # noqa: E402
from slatehoist.maps.coordinator import Coordinator  # noqa: E402
from slatehoist.maps.switch import Switch  # noqa: E402


async def _settle_nothing(self, now: float) -> bool:
    return False


async def _wait_for_ever(self, *args) -> None:
    await asyncio.Event().wait()


async def _list_nothing(self) -> list[str]:
    return []


async def _probe_nothing(self, now: float) -> None:
    return None


def _record_nothing(self, took_s: float) -> None:
    return None


_arm_ranks = Switch._arm_ranks


async def _arm_first(self, ranks, *args) -> bool:
    return await _arm_ranks(self, ranks[:1], *args)


MUTATIONS = {
    "no_settlement": (Coordinator, "_settle", _settle_nothing),
    "no_configuration": (PlatformSource, "configuration", _wait_for_ever),
    "no_peers": (PlatformGroups, "peer_addresses", _list_nothing),
    "no_probes": (Coordinator, "_probe_silent_ranks", _probe_nothing),
    "constant_timeouts": (AnswerTimes, "record", _record_nothing),
    "arm_one": (Switch, "_arm_ranks", _arm_first),
}


def main() -> int:
    """Replace the method that the mutation names, and launch the role."""
    mutation = sys.argv.pop(1)
    owner, name, method = MUTATIONS[mutation]
    setattr(owner, name, method)
    return launch.main()


if __name__ == "__main__":
    sys.exit(main())
