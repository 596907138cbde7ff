"""Directory of endpoints, which tolerates outages of the platform's list."""

import asyncio
import contextlib
from collections import OrderedDict
from collections.abc import Iterable

from slatehoist.gateway.model import Endpoint

#: Endpoints that are remembered as draining, and as having left.
_MAX_LEFT = 4096


class EndpointDirectory:
    """Index the listed endpoints by service and address.

    An endpoint that is missing from the list has left, unless the list was unavailable
    shortly before: its entries expire during an outage, and endpoints write them again
    afterwards. An endpoint that was listed after the outage and is then missing has
    left, and one that is still missing after the relist time, too, also if no further
    list was read by then.

    An endpoint that was listed as draining stays so until it starts again: an earlier
    heartbeat may be written late, and the list may come back from an older copy. After
    that, an endpoint that has left is ignored until the rows of endpoints that have
    ended are gone from the copy.

    Parameters
    ----------
    relist_s : float
        Relist time: seconds after the first read that ends an outage of the list for
        which missing endpoints are kept.
    row_ttl_s : float
        Longest time in seconds for which the list shows an endpoint that has ended.
    min_outage_s : float
        Shortest outage in seconds in which an entry can expire. Endpoints that are
        missing after a shorter one have left.
    max_age_s : float
        Age in seconds above which a list is overdue, unless it is unavailable.
    """

    def __init__(
        self,
        relist_s: float,
        row_ttl_s: float = 0.0,
        min_outage_s: float = 0.0,
        max_age_s: float = float("inf"),
    ) -> None:
        self._min_outage_s = min_outage_s
        self._max_age_s = max_age_s
        #: Set, and replaced, with each result of a read.
        self._was_read = asyncio.Event()
        #: Set if another read is requested.
        self._read_requested = asyncio.Event()
        self._relist_s = relist_s
        self._row_ttl_s = row_ttl_s
        #: Runs of endpoints that have left, with the time at which that was seen.
        self._left: OrderedDict[str, float] = OrderedDict()
        #: Runs of endpoints that were listed as draining, with True if they were listed
        #: as ready since.
        self._draining: OrderedDict[str, bool] = OrderedDict()
        self._era = 0
        self._era_began_at = float("-inf")
        self._endpoints: dict[str, Endpoint] = {}
        self._by_service: dict[str, list[Endpoint]] = {}
        self._by_address: dict[str, Endpoint] = {}
        self._outage = False
        #: End of the relist time.
        self.keep_until = float("-inf")
        #: Endpoints that have not been listed since the last outage.
        self._unseen: set[str] = set()
        #: Endpoints that are missing from the last list, and are kept after an outage.
        self._kept: set[str] = set()
        self.updated_at: float | None = None
        #: Time since which no outage delays the removal of endpoints that have left.
        self.reliable_since = float("inf")

    def record_outage(self) -> None:
        """Record that the list could not be read."""
        self._outage = True
        self._announce_read()

    def _announce_read(self) -> None:
        self._was_read.set()
        self._was_read = asyncio.Event()

    async def wait_for_read(self) -> None:
        """Wait for the result of the next read, a list or an outage."""
        await self._was_read.wait()

    def request_read(self) -> None:
        """Ask for another read soon, since the list has proved to be outdated."""
        self._read_requested.set()

    async def wait_for_request(self, timeout_s: float) -> None:
        """Wait until a read is requested, at most for some seconds."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._read_requested.wait()
        self._read_requested.clear()

    def is_overdue(self, now: float) -> bool:
        """Return True if the list should have been read again by now.

        This process then stood still, or the read has no answer yet.
        """
        if self._outage or self.updated_at is None:
            return False
        return now - self.updated_at > self._max_age_s

    def update(
        self, listed: Iterable[Endpoint], now: float, era: int = 0
    ) -> "EndpointChanges":
        """Replace the endpoints by a list that was read, and return the changes.

        Parameters
        ----------
        era : int
            Number that rises each time that the list comes back from an older copy.
        """
        if self.updated_at is None:
            self.reliable_since = now
        if era != self._era:
            self._era, self._era_began_at = era, now
        listed, undrained = self._without_undone_changes(listed, now)
        if self._outage:
            self._outage = False
            self.reliable_since = now + self._relist_s
            if self.updated_at is None or now - self.updated_at >= self._min_outage_s:
                self.keep_until = now + self._relist_s
                self._unseen = set(self._endpoints)
        current = {endpoint.endpoint_id: endpoint for endpoint in listed}
        self._unseen -= current.keys()
        missing = self._endpoints.keys() - current.keys()
        kept: set[str] = set()
        if now < self.keep_until:
            used_addresses = {e.address for e in current.values()}
            kept = {
                name
                for name in missing & self._unseen
                if self._endpoints[name].address not in used_addresses
            }
            current.update((name, self._endpoints[name]) for name in kept)
            missing -= kept
        newly_kept = kept - self._kept
        self._kept = kept
        changes = EndpointChanges(
            added=[e for name, e in current.items() if name not in self._endpoints],
            removed=[self._endpoints[name] for name in missing],
            drained=[
                e
                for name, e in current.items()
                if e.draining
                and name in self._endpoints
                and not self._endpoints[name].draining
            ],
            restarted=[
                self._endpoints[name]
                for name, e in current.items()
                if name in self._endpoints
                and e.started_at_ms != self._endpoints[name].started_at_ms
            ],
            kept=[self._endpoints[name] for name in newly_kept],
            undrained=undrained,
        )
        for endpoint in changes.removed:
            self._left[endpoint.run_id] = now
            if len(self._left) > _MAX_LEFT:
                self._left.popitem(last=False)
        self._endpoints = current
        self._index()
        self.updated_at = now
        self._announce_read()
        return changes

    def _without_undone_changes(
        self, listed: Iterable[Endpoint], now: float
    ) -> tuple[list[Endpoint], list[Endpoint]]:
        """Return the listed endpoints without changes that undo a departure.

        Returns
        -------
        tuple of list of Endpoint and list of Endpoint
            The endpoints, and those that are listed as ready for the first time since
            they were listed as draining.
        """
        is_copy = now - self._era_began_at < self._row_ttl_s
        endpoints, undrained = [], []
        for endpoint in listed:
            run_id = endpoint.run_id
            left_at = self._left.get(run_id, float("inf"))
            if is_copy and left_at <= self._era_began_at:
                continue
            if endpoint.draining:
                self._draining[run_id] = False
                self._draining.move_to_end(run_id)
            elif run_id in self._draining:
                endpoint = endpoint._replace(draining=True)
                if not self._draining[run_id]:
                    undrained.append(endpoint)
                self._draining[run_id] = True
                self._draining.move_to_end(run_id)
            endpoints.append(endpoint)
        while len(self._draining) > _MAX_LEFT:
            self._draining.popitem(last=False)
        return endpoints, undrained

    def remove(self, endpoint_id: str) -> None:
        """Remove an endpoint that is known to have left."""
        if self._endpoints.pop(endpoint_id, None) is not None:
            self._index()

    def of_service(self, service: str, now: float) -> list[Endpoint]:
        """Return the endpoints of a service that neither drain nor have left."""
        listed = self._by_service.get(service, [])
        if self._kept and now >= self.keep_until:
            return [e for e in listed if e.endpoint_id not in self._kept]
        return listed

    def service_counts(self) -> dict[str, int]:
        """Return the number of endpoints of each service, without draining ones."""
        return {name: len(listed) for name, listed in self._by_service.items()}

    @property
    def zones(self) -> set[str]:
        """Return the zones of all endpoints, draining ones included."""
        return {endpoint.zone for endpoint in self._endpoints.values()}

    def in_zone(self, zone: str) -> list[Endpoint]:
        """Return the endpoints of a zone, draining ones included."""
        return [e for e in self._endpoints.values() if e.zone == zone]

    def is_kept(self, endpoint_id: str) -> bool:
        """Return True if an endpoint is kept although the last list lacks it."""
        return endpoint_id in self._kept

    @property
    def kept_count(self) -> int:
        """Return the number of endpoints that the last list lacks."""
        return len(self._kept)

    def at_address(self, address: str) -> Endpoint | None:
        """Return the endpoint at an address, or None."""
        return self._by_address.get(address)

    def _index(self) -> None:
        self._by_service = {}
        self._by_address = {e.address: e for e in self._endpoints.values()}
        for endpoint in self._endpoints.values():
            if not endpoint.draining:
                self._by_service.setdefault(endpoint.service, []).append(endpoint)


class EndpointChanges:
    """Difference between two lists of endpoints.

    Attributes
    ----------
    removed, restarted : list of Endpoint
        Endpoints as they were listed before.
    kept : list of Endpoint
        Endpoints that are missing from this list for the first time, and are kept.
    undrained : list of Endpoint
        Endpoints that were listed as draining, and are now listed as ready; they stay
        draining.
    """

    def __init__(
        self,
        added: list[Endpoint],
        removed: list[Endpoint],
        drained: list[Endpoint],
        restarted: list[Endpoint],
        kept: list[Endpoint],
        undrained: list[Endpoint],
    ) -> None:
        self.added = added
        self.removed = removed
        self.drained = drained
        self.restarted = restarted
        self.kept = kept
        self.undrained = undrained

    def __bool__(self) -> bool:
        return any(vars(self).values())
