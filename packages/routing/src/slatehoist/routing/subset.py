"""Subsetting: choose the sidecars that an entry keeps links to.

Rendezvous hashing ranks the peers of each zone for each entry, so that adding or
removing one peer changes at most one link of an entry.
"""

import math
from collections.abc import Iterable
from typing import NamedTuple

from slatehoist.routing.hashing import rendezvous_weight

#: Smallest number of links of an entry, if there are as many sidecars.
MIN_LINKS = 64
#: Smallest number of entries linked to each sidecar, on average.
MIN_COVERAGE = 24


class Peer(NamedTuple):
    """Sidecar that an entry may link to."""

    name: str
    zone: str


def rank_peers(entry: str, peers: Iterable[Peer]) -> list[Peer]:
    """Return the peers in the order of an entry's preference."""
    return sorted(
        peers, key=lambda peer: rendezvous_weight(entry, peer.name), reverse=True
    )


def subset_size(entries: int, sidecars: int) -> int:
    """Return the number of links that one entry should keep.

    Each sidecar needs links from enough entries that random differences in their
    number do not overload some sidecars; more links only add cost.
    """
    covering = math.ceil(MIN_COVERAGE * sidecars / max(entries, 1))
    return min(max(covering, MIN_LINKS), sidecars)


def choose_subset(entry: str, peers: Iterable[Peer], size: int) -> list[Peer]:
    """Return the peers to link to, spread evenly over the zones.

    Parameters
    ----------
    entry : str
        Name of the entry that chooses.
    size : int
        Number of peers to return; all peers are returned if there are fewer.
    """
    by_zone: dict[str, list[Peer]] = {}
    for peer in rank_peers(entry, peers):
        by_zone.setdefault(peer.zone, []).append(peer)
    chosen: list[Peer] = []
    position = 0
    while len(chosen) < size and any(len(zone) > position for zone in by_zone.values()):
        next_peers = [
            by_zone[z][position] for z in sorted(by_zone) if len(by_zone[z]) > position
        ]
        chosen += rank_peers(entry, next_peers)
        position += 1
    return chosen[:size]
