"""Configuration in force, and how long its credentials may be trusted."""

import random
from typing import NamedTuple

from slatehoist.gateway.model import Configuration, Route, Service, Team


class RouteTable:
    """Index of one configuration for lookups by host, path and credential."""

    def __init__(self, cfg: Configuration) -> None:
        self.cfg = cfg
        self._by_host: dict[str, list[Route]] = {}
        for route in cfg.routes:
            self._by_host.setdefault(route.host.lower(), []).append(route)
        for routes in self._by_host.values():
            routes.sort(key=lambda route: len(route.prefix), reverse=True)
        self._services = {service.name: service for service in cfg.services}
        self._teams = {
            credential: team
            for team in cfg.teams or ()
            for credential in team.credentials
        }

    def route(self, host: str, path: str) -> Route | None:
        """Give the route with the longest prefix of the path, or None."""
        for route in self._by_host.get(host.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None

    def team(self, credential: str) -> Team | None:
        """Give the team that a credential belongs to, or None."""
        return self._teams.get(credential)

    def service(self, name: str) -> Service | None:
        """Give a service by its name, or None."""
        return self._services.get(name)

    @property
    def needs_credentials(self) -> bool:
        """Whether callers of routes that are not public must name their team."""
        return self.cfg.teams is not None


def pick_service(route: Route, rng: random.Random) -> str:
    """Choose one of a route's services by their weights."""
    if len(route.targets) == 1:
        return route.targets[0].service
    weights = [target.weight for target in route.targets]
    return rng.choices(route.targets, weights)[0].service


class Offer(NamedTuple):
    """Result of offering a configuration to the catalogue."""

    adopted: bool
    version: int


class Catalogue:
    """Hold the newest configuration; it never goes back to an older version.

    Parameters
    ----------
    trust_s : float
        Seconds after the start of the last successful read during which credentials
        count as current. A revocation that was accepted before that read was seen
        by it.
    """

    def __init__(self, trust_s: float) -> None:
        self._trust_s = trust_s
        self._confirmed_at: float | None = None
        self.table: RouteTable | None = None

    def offer(self, cfg: Configuration) -> Offer:
        """Adopt a configuration if it is newer than the one in force."""
        current = self.version
        if cfg.version <= current:
            return Offer(False, current)
        self.table = RouteTable(cfg)
        return Offer(True, cfg.version)

    def confirm(self, asked_at: float) -> None:
        """Note that a read begun at a time showed the newest configuration."""
        if self._confirmed_at is None or asked_at > self._confirmed_at:
            self._confirmed_at = asked_at

    @property
    def version(self) -> int:
        """Version in force; -1 before the first."""
        return self.table.cfg.version if self.table else -1

    def age_s(self, now: float) -> float:
        """Give the seconds since the configuration was last known to be newest."""
        return float("inf") if self._confirmed_at is None else now - self._confirmed_at

    def credentials_trusted(self, now: float) -> bool:
        """Whether no credential can have been revoked for longer than allowed."""
        return self.age_s(now) < self._trust_s
