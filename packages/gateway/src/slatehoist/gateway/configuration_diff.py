"""Differences between two configurations, and the callers whom they move."""

from collections import Counter
from collections.abc import Iterator
from enum import StrEnum
from typing import Any, NamedTuple

from slatehoist.gateway.configuration_checks import label, shorten
from slatehoist.gateway.model import Configuration, EngineSpec, Route, Team


class ChangeKind(StrEnum):
    """Kind of a change of an entry; ``reordered`` applies to a whole section."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"
    REORDERED = "reordered"


class FieldChange(NamedTuple):
    """Change of one field; credentials are only counted.

    Attributes
    ----------
    field : tuple of str
        Path of the field in its entry.
    """

    field: tuple[str, ...]
    before: Any
    after: Any


class Change(NamedTuple):
    """Change of one entry, of the limits or of the version.

    Attributes
    ----------
    section : str
        Field of `Configuration`.
    index : int or None
        Index in the new configuration, or in the old one for a removed entry; None if
        the section is not a list of entries.
    """

    kind: ChangeKind
    section: str
    index: int | None
    entry: str
    fields: tuple[FieldChange, ...] = ()


class Move(NamedTuple):
    """Callers whose requests are answered differently, in words."""

    callers: str
    before: str
    after: str


class ConfigurationDiff(NamedTuple):
    """Differences between two configurations; both parts are empty if there are none.

    Attributes
    ----------
    moves : tuple of Move
        Changes of the services or of the access that callers get. Prefixes stand for
        the paths that begin with them and with no longer prefix of their host.
    """

    changes: tuple[Change, ...]
    moves: tuple[Move, ...]


def compare_configurations(old: Configuration, new: Configuration) -> ConfigurationDiff:
    """Return the differences; there are changes exactly if ``old != new``."""
    if old == new:
        return ConfigurationDiff((), ())
    changes = []
    if _differ(old.version, new.version):
        version = FieldChange(("version",), old.version, new.version)
        changes.append(Change(ChangeKind.CHANGED, "version", None, "", (version,)))
    for section in ("routes", "services", "teams"):
        before, after = getattr(old, section), getattr(new, section)
        if _differ(before, after):
            changes += _compare_entries(section, before, after)
    if _differ(old.limits, new.limits):
        fields = tuple(_compare_fields(old.limits, new.limits))
        changes.append(Change(ChangeKind.CHANGED, "limits", None, "", fields))
    moves = (*_find_route_moves(old, new), *_find_credential_moves(old, new))
    return ConfigurationDiff(tuple(changes), moves)


def _differ(before: Any, after: Any) -> bool:
    """Compare as the items of tuples are compared, by identity first."""
    return (before,) != (after,)


def _compare_entries(
    section: str, before: tuple | None, after: tuple | None
) -> list[Change]:
    """Return the changes between two unequal lists of entries, at least one.

    Entries are paired by their names; of several with a name, the first ones are.
    """
    changes = []
    if (before is None) != (after is None):
        states = ["none" if teams is None else "listed" for teams in (before, after)]
        fields = (FieldChange((section,), *states),)
        changes.append(Change(ChangeKind.CHANGED, section, None, "", fields))
    old, new = _by_name(before or ()), _by_name(after or ())
    for key, (index, entry) in new.items():
        if key not in old:
            name = label(entry.name)
            changes.append(Change(ChangeKind.ADDED, section, index, name))
        elif _differ(old[key][1], entry):
            fields = tuple(_compare_fields(old[key][1], entry))
            name = label(entry.name)
            changes.append(Change(ChangeKind.CHANGED, section, index, name, fields))
    for key, (index, entry) in old.items():
        if key not in new:
            name = label(entry.name)
            changes.append(Change(ChangeKind.REMOVED, section, index, name))
    return changes or [Change(ChangeKind.REORDERED, section, None, "")]


def _by_name(entries: tuple) -> dict[tuple[str, int], tuple[int, Any]]:
    """Map the name of each entry, and its number among those of the name, to it."""
    numbers: Counter[str] = Counter()
    named = {}
    for index, entry in enumerate(entries):
        # Names that are no texts may be unhashable.
        name = entry.name if isinstance(entry.name, str) else shorten(entry.name)
        named[name, numbers[name]] = index, entry
        numbers[name] += 1
    return named


def _compare_fields(before: Any, after: Any) -> Iterator[FieldChange]:
    for name in after._fields:
        old, new = getattr(before, name), getattr(after, name)
        if not _differ(old, new):
            continue
        if isinstance(old, EngineSpec) and isinstance(new, EngineSpec):
            for change in _compare_fields(old, new):
                yield change._replace(field=(name, *change.field))
        elif isinstance(after, Team) and name == "credentials":
            yield _compare_credentials(old, new)
        else:
            yield FieldChange((name,), old, new)


def _compare_credentials(before: tuple, after: tuple) -> FieldChange:
    old, new = Counter(before), Counter(after)
    added, removed = (new - old).total(), (old - new).total()
    state = f"{len(after)} ({added} added, {removed} removed)"
    return FieldChange(("credentials",), str(len(before)), state)


class _PrefixIndex:
    """Index of routes that finds the longest prefix of a path without a scan.

    It finds the same route as `RouteTable.route`, whose scan would take seconds for a
    comparison of thousands of routes of one host.
    """

    def __init__(self, cfg: Configuration) -> None:
        self._routes: dict[str, dict[str, Route]] = {}
        for route in cfg.routes:
            if isinstance(route.prefix, str):
                routes = self._routes.setdefault(route.host.lower(), {})
                routes.setdefault(route.prefix, route)
        self._lengths = {
            host: sorted({len(prefix) for prefix in routes}, reverse=True)
            for host, routes in self._routes.items()
        }

    def places(self) -> list[tuple[str, str]]:
        """Return the pairs of a host and a prefix, in the order of the routes."""
        return [(host, prefix) for host, ps in self._routes.items() for prefix in ps]

    def route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix of a path, or None."""
        routes = self._routes.get(host, {})
        for length in self._lengths.get(host, ()):
            found = routes.get(path[:length]) if length <= len(path) else None
            if found is not None:
                return found
        return None


def _find_route_moves(old: Configuration, new: Configuration) -> Iterator[Move]:
    before, after = _PrefixIndex(old), _PrefixIndex(new)
    for host, prefix in dict.fromkeys([*before.places(), *after.places()]):
        routes = before.route(host, prefix), after.route(host, prefix)
        services = [_describe_services(route) for route in routes]
        callers = f"callers of {label(host + prefix)}"
        if services[0] != services[1]:
            yield Move(callers, *services)
        if None not in routes:
            access = [
                "a credential is needed"
                if cfg.teams is not None and not route.public
                else "no credential is needed"
                for cfg, route in zip((old, new), routes, strict=True)
            ]
            if access[0] != access[1]:
                yield Move(callers, *access)


def _describe_services(route: Route | None) -> str:
    """Return the services of a route with their shares of its requests."""
    if route is None:
        return "no route (404)"
    if len(route.targets) == 1:
        return label(route.targets[0].service)
    weights: Counter[str] = Counter()
    for target in route.targets:
        weights[label(target.service)] += target.weight
    total = sum(weights.values())
    if not 0 < total < float("inf"):
        return "no service (weights that cannot be used)"
    shares = {name: 100 * weights[name] / total for name in sorted(weights)}
    return ", ".join(f"{name} {share:.4g}%" for name, share in shares.items())


def _find_credential_moves(old: Configuration, new: Configuration) -> Iterator[Move]:
    if old.teams is None or new.teams is None:
        return
    before, after = _team_names(old.teams), _team_names(new.teams)
    moved: Counter[tuple[str, str]] = Counter()
    for credential in dict.fromkeys([*before, *after]):
        states = before.get(credential, _REJECTED), after.get(credential, _REJECTED)
        if states[0] != states[1]:
            moved[states] += 1
    for states, count in moved.items():
        yield Move(f"callers with {count} of the credentials", *states)


_REJECTED = "rejected (401)"


def _team_names(teams: tuple[Team, ...]) -> dict[Any, str]:
    """Map each credential to its team as `RouteTable` does."""
    return {
        credential: f"team {label(team.name)}"
        for team in teams
        for credential in team.credentials
    }
