"""Maps that an agent knows, and the changes between two maps.

All agents of a group know the map in use: map 0 is fixed, and each later one was
prepared by them. So a new map is sent as its changes to a known one, which take a tenth
of the bytes. A digest shows whether the result is the same at all agents.
"""

from collections import OrderedDict
from collections.abc import Sequence

import msgspec
import xxhash

from slatehoist.maps.peers import Group
from slatehoist.maps.placement import Placement, initial_placement
from slatehoist.maps.rank import GroupSpec

#: Maps of one epoch that an agent keeps: the one in use, the prepared one, and a few
#: that were prepared and not put into use.
MAX_KNOWN_MAPS = 6


class UnknownMapError(Exception):
    """Raised if changes do not apply to a map that is known here."""


def map_digest(placement: Placement) -> int:
    """Return a digest of a map whose experts are sorted at each rank."""
    return xxhash.xxh64_intdigest(msgspec.msgpack.encode(placement))


def map_changes(old: Placement, new: Placement) -> list[int]:
    """Return the changes from one map to another as a flat list.

    Each entry has the set, the rank, the number of removed experts, these experts, the
    number of added experts, and these experts.
    """
    changes: list[int] = []
    for index, (old_ranks, new_ranks) in enumerate(zip(old, new, strict=True)):
        for rank, (before, after) in enumerate(zip(old_ranks, new_ranks, strict=True)):
            if before == after:
                continue
            removed = [e for e in before if e not in after]
            added = [e for e in after if e not in before]
            changes += (index, rank, len(removed), *removed, len(added), *added)
    return changes


def apply_changes(old: Placement, changes: Sequence[int]) -> Placement:
    """Return the map that `map_changes` has described, with sorted experts.

    Raises
    ------
    UnknownMapError
        If the changes are malformed or do not fit the map.
    """
    new = [list(ranks) for ranks in old]
    at = 0
    try:
        while at < len(changes):
            index, rank, removed_count = changes[at : at + 3]
            removed = changes[at + 3 : at + 3 + removed_count]
            at += 3 + removed_count
            added = changes[at + 1 : at + 1 + changes[at]]
            at += 1 + changes[at]
            if min(index, rank, removed_count) < 0:
                raise UnknownMapError(f"negative number in changes at {at}")
            kept = [e for e in new[index][rank] if e not in removed]
            new[index][rank] = sorted(kept + list(added))
    except (IndexError, ValueError) as exc:
        raise UnknownMapError(f"malformed changes: {exc!r}") from exc
    return new


class KnownMaps:
    """Maps of the group's epoch by version; those of other epochs are forgotten.

    Parameters
    ----------
    group : Group
        States of the ranks, which contain the map in use. An agent that was started
        after that map was prepared knows it only from there.
    """

    def __init__(self, group: Group) -> None:
        self._group = group
        #: Dimensions of the groups, which determine map 0; None while unknown.
        self.spec: GroupSpec | None = None
        self._epoch = 0
        self._maps: OrderedDict[int, Placement] = OrderedDict()

    def record(self, epoch: int, version: int, placement: Placement) -> None:
        """Record a map of an epoch."""
        if epoch != self._epoch:
            self._maps.clear()
            self._epoch = epoch
        self._maps[version] = placement
        self._maps.move_to_end(version)
        if len(self._maps) > MAX_KNOWN_MAPS:
            self._maps.popitem(last=False)

    def get(self, epoch: int, version: int) -> Placement | None:
        """Return a map of an epoch, or None if it is unknown."""
        if version == 0 and self.spec is not None:
            spec = self.spec
            return initial_placement(spec.sets, self._group.size, spec.experts)
        known = self._maps.get(version) if epoch == self._epoch else None
        if known is None:
            return self._group.placement(epoch, version)
        self._maps.move_to_end(version)
        return known
