"""Configuration in force, and the time for which its credentials are trusted."""

import itertools
import random
from typing import NamedTuple

from slatehoist.gateway.model import Configuration, Route, Service, Team

#: Priority of teams that state none.
DEFAULT_PRIORITY = 5
#: Levels of urgency that endpoints distinguish.
MAX_URGENCIES = 10


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
        self._urgencies = _rank_urgencies(cfg)
        self._teams = {
            credential: team
            for team in cfg.teams or ()
            for credential in team.credentials
        }

    def route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix of the path, or None."""
        for route in self._by_host.get(host.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None

    def team(self, credential: str) -> Team | None:
        """Return the team that a credential belongs to, or None."""
        return self._teams.get(credential)

    def service(self, name: str) -> Service | None:
        """Return the service of a name, or None."""
        return self._services.get(name)

    def urgency(self, route: Route, team: Team | None) -> int:
        """Return the urgency of a team's requests on a route; 0 is the most urgent.

        The priority of the team decides; that of the route ranks requests of teams with
        the same priority.
        """
        return self._urgencies[_team_priority(team), route.priority]

    @property
    def needs_credentials(self) -> bool:
        """Return True if routes that are not public require a credential."""
        return self.cfg.teams is not None


def _team_priority(team: Team | None) -> int:
    if team is None or team.priority is None:
        return DEFAULT_PRIORITY
    return team.priority


def _rank_urgencies(cfg: Configuration) -> dict[tuple[int, int], int]:
    """Return the urgency of each pair of a team's and a route's priority."""
    teams = {_team_priority(team) for team in (None, *(cfg.teams or ()))}
    routes = {route.priority for route in cfg.routes}
    pairs = sorted(itertools.product(teams, routes))
    scale = max(len(pairs) / MAX_URGENCIES, 1.0)
    return {pair: int(rank / scale) for rank, pair in enumerate(pairs)}


def pick_service(route: Route, rng: random.Random) -> str:
    """Return one of a route's services, chosen at random by weight."""
    if len(route.targets) == 1:
        return route.targets[0].service
    weights = [target.weight for target in route.targets]
    return rng.choices(route.targets, weights)[0].service


class Offer(NamedTuple):
    """Result of offering a configuration to the catalogue."""

    adopted: bool
    version: int


class Catalogue:
    """Hold the newest configuration; its version never decreases.

    Parameters
    ----------
    trust_s : float
        Seconds after the start of the last successful read for which credentials are
        trusted. That read returned every revocation accepted before it started.
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

    def confirm(self, read_started_at: float) -> None:
        """Record that a read started at this time returned the newest configuration."""
        if self._confirmed_at is None or read_started_at > self._confirmed_at:
            self._confirmed_at = read_started_at

    def find_service(self, name: str) -> Service | None:
        """Return the service of a name in the configuration in force, or None."""
        return self.table.service(name) if self.table else None

    @property
    def version(self) -> int:
        """Return the version in force, or -1 if there is none."""
        return self.table.cfg.version if self.table else -1

    def age_s(self, now: float) -> float:
        """Return the seconds since the configuration was last confirmed as newest."""
        return float("inf") if self._confirmed_at is None else now - self._confirmed_at

    def credentials_trusted(self, now: float) -> bool:
        """Return True if the configuration is recent enough to check credentials.

        It then includes every revocation that is older than `trust_s`.
        """
        return self.age_s(now) < self._trust_s
