"""Placement: the zones and regions whose endpoints may run a request.

An operator can evacuate an availability zone, and a route or a team can restrict the
regions in which its requests run. Both exclude endpoints before the load decides.
"""

from collections import OrderedDict
from collections.abc import Iterable, Mapping, Sequence
from enum import StrEnum
from typing import NamedTuple, Protocol, TypeVar

#: Restored zones that are remembered; the number only bounds the memory.
MAX_RESTORED = 256


class Located(Protocol):
    """Something that runs in an availability zone."""

    @property
    def zone(self) -> str:
        """Return the name of the zone."""


LocatedT = TypeVar("LocatedT", bound=Located)


class Unplaced(StrEnum):
    """Why no endpoint may run a request.

    - ``regions``: no endpoint is in a region that the restrictions allow.
    - ``evacuation``: all endpoints that the restrictions allow are in evacuated zones.
    """

    REGIONS = "regions"
    EVACUATION = "evacuation"


class ZoneChanges(NamedTuple):
    """Zones that became evacuated and zones that were restored."""

    evacuated: tuple[str, ...]
    restored: tuple[str, ...]


class ZoneEvacuations:
    """Set of the evacuated zones, and when zones were restored."""

    def __init__(self) -> None:
        self._evacuated: frozenset[str] = frozenset()
        self._restored_at: OrderedDict[str, float] = OrderedDict()

    def __contains__(self, zone: str) -> bool:
        return zone in self._evacuated

    def __len__(self) -> int:
        return len(self._evacuated)

    def replace(self, zones: Iterable[str], now: float) -> ZoneChanges:
        """Set the evacuated zones, and return the changes."""
        zones = frozenset(zones)
        return self._apply(zones, self._evacuated - zones, now)

    def update(
        self, evacuated: Iterable[str], restored: Iterable[str], now: float
    ) -> ZoneChanges:
        """Add and remove evacuated zones, and return the changes.

        A zone that is restored without being known as evacuated counts as restored,
        too: both changes may be read together.
        """
        restored = frozenset(restored)
        zones = (self._evacuated | frozenset(evacuated)) - restored
        return self._apply(zones, restored, now)

    def _apply(
        self, zones: frozenset[str], restored: frozenset[str], now: float
    ) -> ZoneChanges:
        evacuated = zones - self._evacuated
        self._evacuated = zones
        for zone in sorted(restored):
            self._restored_at[zone] = now
            self._restored_at.move_to_end(zone)
        while len(self._restored_at) > MAX_RESTORED:
            self._restored_at.popitem(last=False)
        return ZoneChanges(tuple(sorted(evacuated)), tuple(sorted(restored)))

    def restored_at(self, zone: str) -> float | None:
        """Return the time at which a zone was last restored, or None."""
        return self._restored_at.get(zone)


class Placement:
    """Select the endpoints that may run a request, by their zones.

    Parameters
    ----------
    evacuations : ZoneEvacuations
    zone_regions : mapping of str to str
        Region of each zone. A zone without a region is in none that a restriction
        names.
    """

    def __init__(
        self, evacuations: ZoneEvacuations, zone_regions: Mapping[str, str]
    ) -> None:
        self._evacuations = evacuations
        self._zone_regions = zone_regions

    def allowed(
        self, endpoints: Sequence[LocatedT], *regions: Sequence[str]
    ) -> list[LocatedT]:
        """Return the endpoints outside evacuated zones and inside the regions.

        Parameters
        ----------
        *regions : sequence of str
            Restrictions, all of which are binding; an empty one allows all regions.
        """
        endpoints = self._in_regions(endpoints, regions)
        if not self._evacuations:
            return endpoints
        return [e for e in endpoints if e.zone not in self._evacuations]

    def find_cause(
        self, endpoints: Sequence[Located], *regions: Sequence[str]
    ) -> Unplaced | None:
        """Return why none of the endpoints may run a request.

        Return None if one may, or if there are no endpoints.
        """
        if not endpoints or self.allowed(endpoints, *regions):
            return None
        if self._in_regions(endpoints, regions):
            return Unplaced.EVACUATION
        return Unplaced.REGIONS

    def _in_regions(
        self, endpoints: Sequence[LocatedT], regions: Sequence[Sequence[str]]
    ) -> list[LocatedT]:
        restrictions = [names for names in regions if names]
        if not restrictions:
            return list(endpoints)
        zones = {
            zone
            for zone, region in self._zone_regions.items()
            if region and all(region in names for names in restrictions)
        }
        return [e for e in endpoints if e.zone in zones]
