"""Subset of peers that an entry keeps links to.

Rendezvous hashing ranks the peers of each zone for each entry, so that one peer that
comes or goes changes at most one link of an entry.
"""

import math
from collections.abc import Iterable
from typing import NamedTuple

from slatehoist.routing.hashing import rendezvous_weight

#: Links that an entry keeps in any case.
MIN_LINKS = 64
#: Entries that each sidecar should have a link to, on average.
MIN_COVERAGE = 24


class Peer(NamedTuple):
    """A peer that a link could go to."""

    name: str
    zone: str


def rank_peers(entry: str, peers: Iterable[Peer]) -> list[Peer]:
    """Sort peers by this entry's preference."""
    return sorted(
        peers, key=lambda peer: rendezvous_weight(entry, peer.name), reverse=True
    )


def subset_size(entries: int, sidecars: int) -> int:
    """Give the links that one entry should keep.

    Each sidecar is to hear from so many entries that chance does not leave some with
    much more work than others; beyond that, links only cost.
    """
    covering = math.ceil(MIN_COVERAGE * sidecars / max(entries, 1))
    return min(max(covering, MIN_LINKS), sidecars)


def choose_subset(entry: str, peers: Iterable[Peer], size: int) -> list[Peer]:
    """Choose peers to link to, spread evenly over the zones.

    Parameters
    ----------
    entry : str
        Name of the entry that chooses.
    size : int
        Links wanted; all peers are taken if there are fewer.
    """
    by_zone: dict[str, list[Peer]] = {}
    for peer in rank_peers(entry, peers):
        by_zone.setdefault(peer.zone, []).append(peer)
    chosen: list[Peer] = []
    depth = 0
    while len(chosen) < size and any(len(zone) > depth for zone in by_zone.values()):
        layer = [by_zone[z][depth] for z in sorted(by_zone) if len(by_zone[z]) > depth]
        chosen += rank_peers(entry, layer)
        depth += 1
    return chosen[:size]
