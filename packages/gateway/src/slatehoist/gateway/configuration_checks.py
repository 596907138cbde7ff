"""Checks of a configuration, which gateways and operators apply.

They report what a configuration that can be decoded is nonetheless unlikely to mean.
Gateways adopt such a configuration and log the findings.
"""

import logging
import reprlib
from collections import Counter
from collections.abc import Callable, Collection, Iterator, Mapping
from enum import StrEnum
from typing import Any, NamedTuple

from slatehoist.gateway.model import (
    CallerLimits,
    Configuration,
    EngineSpec,
    Kind,
    Route,
    Service,
    Team,
)
from slatehoist.gateway.settings import (
    MAX_LOGGED_FINDINGS,
    MIN_ATTEMPT_S,
    GatewaySettings,
)

log = logging.getLogger(__name__)

#: Urgencies that can be sent to endpoints.
PRIORITIES = range(10)
#: Characters of a value that a finding shows.
MAX_SHOWN_CHARS = 60

_shown = reprlib.Repr()
_shown.maxstring = _shown.maxother = _shown.maxlong = MAX_SHOWN_CHARS

#: Path of a value in a configuration: names of fields, and indexes in tuples.
Path = tuple[str | int, ...]


class Severity(StrEnum):
    """Severity of a finding.

    - ``error``: requests fail, or are answered for others than intended.
    - ``warning``: an entry or a limit has no effect, or contradicts another one.
    """

    ERROR = "error"
    WARNING = "warning"


class Finding(NamedTuple):
    """One result of the checks.

    Attributes
    ----------
    check : str
        Stable identifier of the check.
    path : tuple of (str or int)
        Path of the value in the `Configuration`.
    entry : str
        Name of the route, service or team; empty if the value belongs to none.
    reason : str
        It never contains a credential.
    """

    check: str
    severity: Severity
    path: Path
    entry: str
    reason: str


class Deployment(NamedTuple):
    """Facts about a deployment that its configuration does not state.

    Checks that need a fact that is None are left out.

    Attributes
    ----------
    regions : frozenset of str or None
        Regions that have a zone.
    endpoint_counts : mapping of str to int, or None
        Number of endpoints by service, without draining ones.
    retry_rate : float or None
        Retries per second to a service that the retry budget grants to all gateways
        together, whatever the number of first attempts.
    """

    regions: frozenset[str] | None = None
    endpoint_counts: Mapping[str, int] | None = None
    retry_rate: float | None = None


#: Deployment of which nothing is known.
UNKNOWN_DEPLOYMENT = Deployment()


def describe_deployment(
    cfg: GatewaySettings, endpoint_counts: Mapping[str, int] | None = None
) -> Deployment:
    """Return the facts that the settings of a gateway state."""
    window_s = cfg.retry_window_s
    return Deployment(
        regions=frozenset(cfg.zone_regions.values()),
        endpoint_counts=endpoint_counts,
        retry_rate=cfg.retry_allowance / window_s if window_s > 0 else None,
    )


class _Subject(NamedTuple):
    """Configuration under check; only entries whose fields have the right types.

    Each entry stands with its index in the configuration.

    Attributes
    ----------
    malformed : collection of Path
        Entries and sections that could not be decoded.
    """

    cfg: Configuration
    deployment: Deployment
    malformed: Collection[Path]
    routes: list[tuple[int, Route]]
    services: list[tuple[int, Service]]
    teams: list[tuple[int, Team]]


def shorten(value: Any) -> str:
    """Return the representation of a value, of bounded length."""
    try:
        return _shown.repr(value)
    except ValueError:
        # Python refuses to print integers of several thousand digits.
        return f"a value of type {type(value).__name__}"


def format_path(path: Path) -> str:
    """Return a path in the form ``routes[3].timeout_s``."""
    text = "".join(f"[{p}]" if isinstance(p, int) else f".{p}" for p in path)
    return text.removeprefix(".")


def check_configuration(
    cfg: Configuration,
    deployment: Deployment = UNKNOWN_DEPLOYMENT,
    malformed: Collection[Path] = frozenset(),
) -> list[Finding]:
    """Return all findings of a configuration, errors first, in its order.

    Parameters
    ----------
    malformed : collection of Path
        Entries and sections of a configuration that could be decoded only in part.
        Their values may be None, and they have no findings.
    """
    found = [
        finding
        for finding in _check_types(cfg)
        if finding.path[:2] not in malformed and finding.path[:1] not in malformed
    ]
    wrong = {finding.path[:2] for finding in found}.union(malformed)
    subject = _Subject(
        cfg,
        deployment,
        malformed,
        [(i, r) for i, r in enumerate(cfg.routes) if ("routes", i) not in wrong],
        [(i, s) for i, s in enumerate(cfg.services) if ("services", i) not in wrong],
        [(i, t) for i, t in enumerate(cfg.teams or ()) if ("teams", i) not in wrong],
    )
    for check in _CHECKS:
        found += check(subject)
    return sorted(found, key=_order)


def _order(finding: Finding) -> tuple:
    section = str(finding.path[0]) if finding.path else ""
    index = finding.path[1] if len(finding.path) > 1 else -1
    return (
        finding.severity is not Severity.ERROR,
        _SECTIONS.index(section) if section in _SECTIONS else -1,
        index if isinstance(index, int) else -1,
    )


_SECTIONS = ("routes", "services", "limits", "teams")


def log_findings(version: int, findings: list[Finding]) -> None:
    """Log the findings of a configuration that this gateway has adopted.

    The most severe `MAX_LOGGED_FINDINGS` have a line each; the last line counts all.
    """
    for finding in findings[:MAX_LOGGED_FINDINGS]:
        log.warning(
            "configuration_finding",
            extra={
                "version": version,
                "check": finding.check,
                "severity": finding.severity.value,
                "path": format_path(finding.path),
                "entry": finding.entry,
                "why": finding.reason,
            },
        )
    if findings:
        errors = sum(finding.severity is Severity.ERROR for finding in findings)
        log.warning(
            "configuration_checked",
            extra={
                "version": version,
                "errors": errors,
                "warnings": len(findings) - errors,
                "not_listed": max(0, len(findings) - MAX_LOGGED_FINDINGS),
            },
        )


def label(name: Any) -> str:
    """Return the name of an entry as it is shown, also if it is not a text."""
    if isinstance(name, str) and name.isprintable() and len(name) <= MAX_SHOWN_CHARS:
        return name
    return shorten(name)


def _error(check: str, path: Path, entry: Any, reason: str) -> Finding:
    return Finding(check, Severity.ERROR, path, label(entry), reason)


def _warning(check: str, path: Path, entry: Any, reason: str) -> Finding:
    return Finding(check, Severity.WARNING, path, label(entry), reason)


# Types


def _is_text(value: Any) -> bool:
    return isinstance(value, str)


def _is_integer(value: Any) -> bool:
    return isinstance(value, int) and not isinstance(value, bool)


def _is_number(value: Any) -> bool:
    """Return True for a finite number; integers too large for a float are not."""
    if not isinstance(value, int | float) or isinstance(value, bool):
        return False
    return -_LARGEST_NUMBER <= value <= _LARGEST_NUMBER


def _is_optional_number(value: Any) -> bool:
    return value is None or _is_number(value)


#: Bound on numbers, so that sums of them stay finite.
_LARGEST_NUMBER = 1e300

_Test = tuple[Callable[[Any], bool], str]
_TEXT: _Test = (_is_text, "a text")
_INTEGER: _Test = (_is_integer, "an integer")
_NUMBER: _Test = (_is_number, "a finite number")
_OPTIONAL_NUMBER: _Test = (_is_optional_number, "a finite number")

_ROUTE_TYPES = {
    "name": _TEXT,
    "host": _TEXT,
    "prefix": _TEXT,
    "timeout_s": _NUMBER,
    "objective_s": _NUMBER,
    "priority": _INTEGER,
    "max_attempts": _INTEGER,
}
_SERVICE_TYPES = {"name": _TEXT, "cold_s": _NUMBER, "cold_rate": _NUMBER}
_ENGINE_TYPES = {
    **dict.fromkeys(EngineSpec._fields, _NUMBER),
    "report_lag_ms": _OPTIONAL_NUMBER,
}
_LIMITS_TYPES = dict.fromkeys(CallerLimits._fields, _NUMBER)


def _check_types(cfg: Configuration) -> Iterator[Finding]:
    """Yield errors for fields of a wrong type, which gateways adopt."""
    for index, route in enumerate(cfg.routes):
        path = ("routes", index)
        yield from _wrong_fields(route, _ROUTE_TYPES, path, route.name)
        if route.pause_s is not None and not _is_number(route.pause_s):
            yield _wrong_type((*path, "pause_s"), route.name, route.pause_s, _NUMBER)
        for target in (*route.targets, *route.unused_targets):
            if not _is_text(target.service):
                yield _wrong_type((*path, "targets"), route.name, target.service, _TEXT)
            if not _is_number(target.weight):
                yield _wrong_type(
                    (*path, "targets"), route.name, target.weight, _NUMBER
                )
    for index, service in enumerate(cfg.services):
        path = ("services", index)
        yield from _wrong_fields(service, _SERVICE_TYPES, path, service.name)
        if service.engine is not None:
            yield from _wrong_fields(
                service.engine, _ENGINE_TYPES, (*path, "engine"), service.name
            )
    yield from _wrong_fields(cfg.limits, _LIMITS_TYPES, ("limits",), "")
    for index, team in enumerate(cfg.teams or ()):
        path = ("teams", index)
        yield from _wrong_fields(team, {"name": _TEXT}, path, team.name)
        if team.priority is not None and not _is_integer(team.priority):
            yield _wrong_type((*path, "priority"), team.name, team.priority, _INTEGER)
        for number, credential in enumerate(team.credentials):
            if not _is_text(credential):
                where = (*path, "credentials", number)
                yield _error("type", where, team.name, "the value is not a text")


def _wrong_fields(
    value: NamedTuple, types: dict[str, _Test], path: Path, entry: Any
) -> Iterator[Finding]:
    for name, test in types.items():
        field = getattr(value, name)
        if not test[0](field):
            yield _wrong_type((*path, name), entry, field, test)


def _wrong_type(path: Path, entry: Any, value: Any, test: _Test) -> Finding:
    return _error("type", path, entry, f"{shorten(value)} is not {test[1]}")


# Routes


def _check_prefixes(subject: _Subject) -> Iterator[Finding]:
    """Find routes that no request reaches."""
    first: dict[tuple[str, str], tuple[int, Route]] = {}
    for index, route in subject.routes:
        key = (route.host.lower(), route.prefix)
        other_index, other = first.setdefault(key, (index, route))
        if other_index != index:
            yield _error(
                "route.prefix_taken",
                ("routes", index, "prefix"),
                route.name,
                f"no request matches: route {label(other.name)} at index {other_index}"
                f" has the same host and prefix {shorten(route.prefix)}",
            )
        if ":" in route.host:
            yield _error(
                "route.never_matches",
                ("routes", index, "host"),
                route.name,
                f"no request matches host {shorten(route.host)}: it is compared"
                " without a port",
            )
        if route.prefix and not _is_path_prefix(route.prefix):
            yield _error(
                "route.never_matches",
                ("routes", index, "prefix"),
                route.name,
                f"no path begins with {shorten(route.prefix)}: paths begin with '/',"
                " are percent-encoded and are compared without their query",
            )


def _is_path_prefix(prefix: str) -> bool:
    return prefix.startswith("/") and all("!" <= c <= "~" and c != "?" for c in prefix)


def _check_targets(subject: _Subject) -> Iterator[Finding]:
    # Those with a field of a wrong type exist, too.
    names = {service.name for service in subject.cfg.services}
    are_known = ("services",) not in subject.malformed and None not in names
    for index, route in subject.routes:
        path = ("routes", index, "targets")
        unknown = {t.service for t in route.targets} - names if are_known else ()
        for service in sorted(unknown):
            yield _error(
                "route.unknown_service",
                path,
                route.name,
                f"there is no service {label(service)}; its requests are rejected",
            )
        if len(route.targets) > 1 and not any(t.weight > 0 for t in route.targets):
            yield _error(
                "route.no_weight",
                path,
                route.name,
                "no service has a weight above 0; all requests fail",
            )
        elif not all(t.weight > 0 for t in route.targets):
            yield _warning(
                "route.weight_zero",
                path,
                route.name,
                "the weight of the only service is not above 0; it gets all requests",
            )
        for target in route.unused_targets:
            yield _warning(
                "route.weight_zero",
                path,
                route.name,
                f"service {label(target.service)} gets no requests: its weight is"
                f" {target.weight:g}",
            )


def _check_times(subject: _Subject) -> Iterator[Finding]:
    for index, route in subject.routes:
        path = ("routes", index)
        if route.timeout_s < MIN_ATTEMPT_S:
            yield _error(
                "route.timeout_too_short",
                (*path, "timeout_s"),
                route.name,
                f"no request is sent: the time-out is {route.timeout_s:g} s, and an"
                f" attempt needs {MIN_ATTEMPT_S:g} s",
            )
        if route.objective_s <= 0:
            yield _error(
                "route.objective_not_positive",
                (*path, "objective_s"),
                route.name,
                f"the objective is {route.objective_s:g} s; attempts that can be"
                " repeated end at once",
            )
        elif route.timeout_s < route.objective_s:
            yield _warning(
                "route.timeout_below_objective",
                (*path, "timeout_s"),
                route.name,
                f"the time-out, {route.timeout_s:g} s, is below the objective,"
                f" {route.objective_s:g} s",
            )
        if route.pause_s is not None and route.pause_s <= 0:
            yield _warning(
                "route.pause_not_positive",
                (*path, "pause_s"),
                route.name,
                f"no stream can be in time: the longest pause is {route.pause_s:g} s",
            )
        if route.kind is not Kind.STREAM:
            for field, is_set in (
                ("pause_s", route.pause_s is not None),
                ("resumable", route.resumable),
            ):
                if is_set:
                    yield _warning(
                        "route.not_a_stream",
                        (*path, field),
                        route.name,
                        f"has no effect on a route of kind {route.kind.value}",
                    )


def _check_attempts(subject: _Subject) -> Iterator[Finding]:
    counts = subject.deployment.endpoint_counts
    names = {service.name for service in subject.cfg.services}
    for index, route in subject.routes:
        path = ("routes", index, "max_attempts")
        if route.max_attempts < 1:
            yield _warning(
                "route.attempts_below_one",
                path,
                route.name,
                f"{shorten(route.max_attempts)} attempts count as 1",
            )
        if counts is None:
            continue
        for service in sorted({t.service for t in route.targets} & names):
            count = counts.get(service, 0)
            if route.max_attempts > count:
                yield _warning(
                    "route.more_attempts_than_endpoints",
                    path,
                    route.name,
                    f"{shorten(route.max_attempts)} attempts, but service"
                    f" {label(service)} has {count} endpoints, and each is tried once",
                )


def _check_route_names(subject: _Subject) -> Iterator[Finding]:
    yield from _repeated_names("route", "routes", subject.routes, Severity.WARNING)


def _repeated_names(
    kind: str, section: str, entries: list[tuple[int, Any]], severity: Severity
) -> Iterator[Finding]:
    first: dict[str, int] = {}
    for index, entry in entries:
        other = first.setdefault(entry.name, index)
        if other != index:
            yield Finding(
                f"{kind}.name_repeated",
                severity,
                (section, index, "name"),
                label(entry.name),
                f"the {kind} at index {other} has the same name",
            )


def _check_priorities(subject: _Subject) -> Iterator[Finding]:
    for section, entries in (("routes", subject.routes), ("teams", subject.teams)):
        for index, entry in entries:
            if entry.priority is not None and entry.priority not in PRIORITIES:
                yield _warning(
                    "priority_out_of_range",
                    (section, index, "priority"),
                    entry.name,
                    f"{shorten(entry.priority)} is not from {PRIORITIES[0]} to"
                    f" {PRIORITIES[-1]}",
                )


def _check_regions(subject: _Subject) -> Iterator[Finding]:
    known = subject.deployment.regions
    if known is None:
        return
    for section, entries in (("routes", subject.routes), ("teams", subject.teams)):
        for index, entry in entries:
            unknown = [region for region in entry.regions if region not in known]
            if not unknown:
                continue
            names = ", ".join(
                # An empty name, which no zone has, stands for an unusable list.
                label(region) or shorten(region)
                for region in unknown[:MAX_NAMED_REGIONS]
            )
            if len(unknown) > MAX_NAMED_REGIONS:
                names += f" and {len(unknown) - MAX_NAMED_REGIONS} more"
            is_lost = len(unknown) == len(entry.regions)
            yield Finding(
                "region_without_zone",
                Severity.ERROR if is_lost else Severity.WARNING,
                (section, index, "regions"),
                label(entry.name),
                f"no zone is in {names}"
                + ("; no endpoint may run its requests" if is_lost else ""),
            )


#: Regions that one finding names.
MAX_NAMED_REGIONS = 5

# Services


def _check_services(subject: _Subject) -> Iterator[Finding]:
    # Gateways use the last service of a name.
    yield from _repeated_names("service", "services", subject.services, Severity.ERROR)
    targets = [t.service for route in subject.cfg.routes for t in route.targets]
    if ("routes",) in subject.malformed or None in targets:
        return
    reached = {service for service in targets if _is_text(service)}
    for index, service in subject.services:
        if service.name not in reached:
            yield _warning(
                "service.not_reached",
                ("services", index),
                service.name,
                "no route sends requests to this service",
            )


def _check_cold_limits(subject: _Subject) -> Iterator[Finding]:
    retry_rate = subject.deployment.retry_rate
    for index, service in subject.services:
        path = ("services", index)
        for field in ("cold_s", "cold_rate"):
            value = getattr(service, field)
            if value < 0:
                yield _error(
                    "service.cold_limit_negative",
                    (*path, field),
                    service.name,
                    f"{value:g} is negative",
                )
        if service.cold_rate > 0 and service.cold_s == 0:
            yield _warning(
                "service.cold_limit_unused",
                (*path, "cold_rate"),
                service.name,
                "the rate has no effect: its endpoints are cold for 0 s",
            )
        if retry_rate is not None and 0 < service.cold_rate < retry_rate:
            yield _warning(
                "service.rate_below_retries",
                (*path, "cold_rate"),
                service.name,
                f"a cold endpoint takes {service.cold_rate:g} requests/s, but the retry"
                f" budget grants {retry_rate:g} retries/s",
            )


# Limits


def _check_limits(subject: _Subject) -> Iterator[Finding]:
    limits = subject.cfg.limits
    effects = {
        "max_body_bytes": (Severity.ERROR, "all requests with a body are rejected"),
        "max_header_bytes": (Severity.WARNING, "no request has so few"),
        "header_timeout_s": (Severity.WARNING, "no request arrives in that time"),
        "idle_timeout_s": (Severity.WARNING, "no connection is kept"),
    }
    for field, (severity, effect) in effects.items():
        value = getattr(limits, field)
        if _is_number(value) and value <= 0:
            yield Finding(
                "limit_not_positive",
                severity,
                ("limits", field),
                "",
                f"the limit is {value:g}: {effect}",
            )


# Teams


def _check_teams(subject: _Subject) -> Iterator[Finding]:
    yield from _repeated_names("team", "teams", subject.teams, Severity.WARNING)
    for index, team in subject.teams:
        if not team.credentials:
            yield _warning(
                "team.no_credential",
                ("teams", index, "credentials"),
                team.name,
                "no caller can belong to this team: it has no credential",
            )


def _check_credentials(subject: _Subject) -> Iterator[Finding]:
    first: dict[str, tuple[int, int]] = {}
    for index, team in subject.teams:
        for number, credential in enumerate(team.credentials):
            path = ("teams", index, "credentials", number)
            if not credential:
                yield _error(
                    "credential.empty",
                    path,
                    team.name,
                    "callers without a credential belong to this team",
                )
            elif credential != credential.strip():
                yield _warning(
                    "credential.never_matches",
                    path,
                    team.name,
                    "no caller can send it: it begins or ends with white space",
                )
            elif len(credential) == 1:
                yield _warning(
                    "credential.one_character",
                    path,
                    team.name,
                    "it has a single character; perhaps a text stands for the list",
                )
            team_index, other = first.setdefault(credential, (index, number))
            if team_index != index:
                owner = label(subject.cfg.teams[team_index].name)
                yield _error(
                    "credential.of_two_teams",
                    path,
                    team.name,
                    f"it is credential {other} of team {owner} at index {team_index},"
                    " too; the last team in the document gets its callers",
                )
            elif other != number:
                yield _warning(
                    "credential.repeated",
                    path,
                    team.name,
                    f"it is credential {other} of this team, too",
                )


def _check_access(subject: _Subject) -> Iterator[Finding]:
    cfg = subject.cfg
    if cfg.teams is None or any(team.credentials for team in cfg.teams):
        return
    if any(path[0] == "teams" for path in subject.malformed):
        return
    closed = Counter(route.public for _, route in subject.routes)[False]
    if closed:
        yield _error(
            "team.nobody",
            ("teams",),
            "",
            f"no team has a credential; {closed} routes that are not public reject"
            " every caller",
        )


_CHECKS: tuple[Callable[[_Subject], Iterator[Finding]], ...] = (
    _check_prefixes,
    _check_targets,
    _check_times,
    _check_attempts,
    _check_route_names,
    _check_priorities,
    _check_regions,
    _check_services,
    _check_cold_limits,
    _check_limits,
    _check_teams,
    _check_credentials,
    _check_access,
)
