"""Command line of ``slatehoist``.

Exit codes: 0 success, 1 refused by the server, 2 invalid arguments or file, 3 server
or process unreachable, 4 change not in force within the timeout. ``slatehoist check``
exits with 1 if it found warnings only and with 2 if it found errors.
"""

import asyncio
import os
import pathlib
import sys
import time
from collections.abc import Coroutine
from dataclasses import dataclass
from typing import Annotated, Any, Literal

import cappa

from slatehoist.cli.check import (
    DEFAULT_PLATFORM,
    STORE,
    CheckedDocument,
    Documents,
    check_document,
    load_documents,
)
from slatehoist.cli.client import Api, ApiError, UnreachableError
from slatehoist.cli.fleet import (
    FLEET_HEADS,
    process_row,
    read_processes,
    summarize,
)
from slatehoist.cli.output import (
    RESOURCE_HEADS,
    print_json,
    print_table,
    resource_row,
)
from slatehoist.cli.stages import START_HEADS, collect_starts, start_row
from slatehoist.cli.trace import collect_events, format_events
from slatehoist.config import Manifest, parse_manifests
from slatehoist.gateway import Deployment
from slatehoist.storage import PlatformError

EXIT_REFUSED = 1
EXIT_INVALID_INPUT = 2
EXIT_UNREACHABLE = 3
EXIT_NOT_IN_FORCE = 4
#: Seconds between polls of the revisions in force.
POLL_S = 0.3

Output = Annotated[
    Literal["table", "json"],
    cappa.Arg(long="--output", short="-o", help="Output format."),
]


def _api() -> Api:
    server = os.environ.get("SLATEHOIST_SERVER", "http://127.0.0.1:8000")
    token = os.environ.get("SLATEHOIST_TOKEN", "")
    if not token:
        _fail(
            EXIT_INVALID_INPUT,
            "SLATEHOIST_TOKEN is not set; set it to an operator's token",
        )
    return Api(server, token)


def _fail(code: int, message: str) -> None:
    print(f"slatehoist: {message}", file=sys.stderr)
    raise cappa.Exit(code=code)


def _run(coro: Coroutine) -> Any:
    """Run a coroutine; translate its errors into messages and exit codes."""
    try:
        return asyncio.run(coro)
    except ApiError as exc:
        current = exc.body.get("current")
        detail = f"; it is at revision {current['revision']}" if current else ""
        _fail(EXIT_REFUSED, f"{exc} ({exc.code}){detail}")
    except UnreachableError as exc:
        _fail(EXIT_UNREACHABLE, str(exc))
    except KeyboardInterrupt:
        return None


@cappa.command(help="Create or update the resources in a file.")
@dataclass
class Apply:
    """Arguments of ``slatehoist apply``."""

    file: Annotated[str, cappa.Arg(short="-f", long="--file", help="TOML file.")]
    wait_s: Annotated[
        float,
        cappa.Arg(long="--wait", help="Seconds to wait until in force; 0: no wait."),
    ] = 0.0
    output: Output = "table"

    def __call__(self) -> None:
        """Apply the file and, with ``--wait``, wait until it is in force."""
        try:
            with open(self.file, encoding="utf-8") as file:
                text = file.read()
        except OSError as exc:
            _fail(EXIT_INVALID_INPUT, f"cannot read {self.file}: {exc.strerror}")
        manifests, findings = parse_manifests(text, self.file)
        if findings:
            for finding in findings:
                print(finding, file=sys.stderr)
            raise cappa.Exit(code=EXIT_INVALID_INPUT)
        documents = _run(self._apply(_api(), manifests))
        _print_resources(documents, self.output)

    async def _apply(self, api: Api, manifests: list[Manifest]) -> list[dict]:
        documents = [
            await api.call("PUT", f"{m.kind}/{m.name}", m.spec) for m in manifests
        ]
        newest = max((d["revision"] for d in documents), default=0)
        if self.wait_s:
            await _wait_in_force(api, newest, self.wait_s)
        return documents


async def _wait_in_force(api: Api, revision: int, wait_s: float) -> None:
    deadline = time.monotonic() + wait_s
    while True:
        status = await api.call("GET", "status")
        behind = [n for n, r in status["instances"].items() if r < revision]
        if not behind:
            return
        if time.monotonic() > deadline:
            _fail(
                EXIT_NOT_IN_FORCE,
                f"revision {revision} is not in force at {', '.join(sorted(behind))}",
            )
        await asyncio.sleep(POLL_S)


@cappa.command(help="Show the resources of a kind, or one resource.")
@dataclass
class Get:
    """Arguments of ``slatehoist get``."""

    kind: Annotated[str, cappa.Arg(help="group, endpoint, team or modelversion.")]
    name: Annotated[str, cappa.Arg(help="Name of the resource; empty: all.")] = ""
    output: Output = "table"

    def __call__(self) -> None:
        """Print the resources."""
        path = f"{self.kind}/{self.name}" if self.name else self.kind
        answer = _run(_api().call("GET", path))
        documents = answer if isinstance(answer, list) else [answer]
        _print_resources(documents, self.output)


@cappa.command(help="Delete a resource.")
@dataclass
class Delete:
    """Arguments of ``slatehoist delete``."""

    kind: Annotated[str, cappa.Arg(help="Kind of the resource.")]
    name: Annotated[str, cappa.Arg(help="Name of the resource.")]

    def __call__(self) -> None:
        """Delete the resource."""
        _run(_api().call("DELETE", f"{self.kind}/{self.name}"))
        print(f"{self.kind}/{self.name} deleted")


@cappa.command(help="Print changes as they happen, until Ctrl-C.")
@dataclass
class Watch:
    """Arguments of ``slatehoist watch``."""

    revision: Annotated[
        int, cappa.Arg(long="--from", help="Revision to start after.")
    ] = 0
    output: Output = "table"

    def __call__(self) -> None:
        """Print changes; after a lost connection, resume after the last revision."""
        _run(self._follow(_api()))

    async def _follow(self, api: Api) -> None:
        revision = self.revision
        while True:
            try:
                async for change in api.watch(revision):
                    revision = change["revision"]
                    self._print_change(change)
            except UnreachableError as exc:
                print(f"slatehoist: {exc}; reconnecting", file=sys.stderr)
                await asyncio.sleep(1.0)

    def _print_change(self, change: dict[str, Any]) -> None:
        if self.output == "json":
            print_json(change)
            return
        verb = "deleted" if change["deleted"] else "changed"
        name = f"{change['kind']}/{change['name']}"
        print(f"{change['revision']:>8} {verb} {name} {change['spec']}", flush=True)


@cappa.command(help="Show the revisions in force and the state of the sidecars.")
@dataclass
class Status:
    """Arguments of ``slatehoist status``."""

    output: Output = "table"

    def __call__(self) -> None:
        """Print the status."""
        status = _run(_api().call("GET", "status"))
        if self.output == "json":
            print_json(status)
            return
        progress = f"in force at {status['in_force']} of {status['of']} processes"
        print(f"revision {status['revision']}, {progress}")
        print(f"member's requests refused at {status['entry']}: {status['refused']}\n")
        rows = [
            [name, s["zone"], s["endpoint"], s["up"], s["takes_work"], s["load"]]
            for name, s in status["sidecars"].items()
        ]
        heads = ("SIDECAR", "ZONE", "ENDPOINT", "UP", "TAKES WORK", "LOAD")
        print_table(heads, rows)


@cappa.command(help="Show where a resource is in force, or why it is not.")
@dataclass
class Explain:
    """Arguments of ``slatehoist explain``."""

    kind: Annotated[str, cappa.Arg(help="Kind of the resource.")]
    name: Annotated[str, cappa.Arg(help="Name of the resource.")]

    def __call__(self) -> None:
        """Print the explanation."""
        for line in _run(self._explain(_api())):
            print(line)

    async def _explain(self, api: Api) -> list[str]:
        document = await api.call("GET", f"{self.kind}/{self.name}")
        status = await api.call("GET", "status")
        revision = document["revision"]
        lines = [
            f"{self.kind}/{self.name}: generation {document['generation']}, "
            f"accepted as revision {revision}"
        ]
        behind = {n: r for n, r in status["instances"].items() if r < revision}
        if not behind:
            lines.append(f"in force at all {status['of']} processes")
        for name, current in sorted(behind.items()):
            reason = (
                "no revision reported"
                if current == 0
                else f"still at revision {current}"
            )
            lines.append(f"not in force at {name}: {reason}")
        if self.kind == "endpoint":
            lines += self._explain_endpoint(status)
        return lines

    def _explain_endpoint(self, status: dict[str, Any]) -> list[str]:
        sidecars = {
            name: s
            for name, s in status["sidecars"].items()
            if s["endpoint"] == self.name
        }
        if not sidecars:
            return ["the queried entry has no link to a sidecar of this endpoint"]
        return [
            f"sidecar {name}: "
            + ("takes work" if s["takes_work"] else "takes no new work")
            + ("" if s["up"] else ", its link is down")
            for name, s in sorted(sidecars.items())
        ]


@cappa.command(help="Show the events of a request from the logs of processes.")
@dataclass
class Trace:
    """Arguments of ``slatehoist trace``."""

    request: Annotated[str, cappa.Arg(help="Id of the request.")]
    files: Annotated[list[str], cappa.Arg(help="Log files of any number of processes.")]
    around: Annotated[
        float,
        cappa.Arg(
            long="--around", help="Seconds to include before and after the request."
        ),
    ] = 1.0

    def __call__(self) -> None:
        """Merge the logs and print the events."""
        events = collect_events(_read_logs(self.files), self.request, self.around)
        if not events:
            _fail(
                EXIT_INVALID_INPUT,
                f"no event of request {self.request} in the given logs",
            )
        print("\n".join(format_events(events)))


def _read_logs(files: list[str]) -> list[str]:
    """Return the lines of all files; fail if one cannot be read."""
    lines: list[str] = []
    for path in files:
        try:
            with open(path, encoding="utf-8", errors="replace") as file:
                lines += file
        except OSError as exc:
            _fail(EXIT_INVALID_INPUT, f"cannot read {path}: {exc.strerror}")
    return lines


@cappa.command(help="Print how long each process took from its start until it served.")
@dataclass
class Stages:
    """Arguments of ``slatehoist stages``."""

    files: Annotated[list[str], cappa.Arg(help="Log files of gateways and agents.")]

    def __call__(self) -> None:
        """Print a row for each start of each process."""
        starts = collect_starts(_read_logs(self.files))
        if not starts:
            _fail(EXIT_INVALID_INPUT, "no start of a process in the given logs")
        first = starts[0].time
        print_table(START_HEADS, [start_row(start, first) for start in starts])


@cappa.command(help="Show the state of gateways and agents from their metrics.")
@dataclass
class Fleet:
    """Arguments of ``slatehoist fleet``."""

    addresses: Annotated[list[str], cappa.Arg(help="Metrics addresses, host:port.")]
    output: Output = "table"

    def __call__(self) -> None:
        """Print the processes; fail if one was not read or has no known role."""
        processes = _run(read_processes(self.addresses))
        summary = summarize(processes)
        if self.output == "json":
            print_json(summary)
        else:
            print_table(FLEET_HEADS, [process_row(p) for p in processes])
            print(_format_in_force(summary))
        if summary["unread"]:
            _fail(EXIT_UNREACHABLE, f"not read: {', '.join(summary['unread'])}")


@cappa.command(help="Check a configuration document of the gateways.")
@dataclass
class Check:
    """Arguments of ``slatehoist check``."""

    file: Annotated[str, cappa.Arg(help="Configuration document, JSON.")]
    against: Annotated[
        str,
        cappa.Arg(
            long="--against",
            help="Document in force to compare with: a file, or 'store'.",
        ),
    ] = ""
    settings: Annotated[
        str,
        cappa.Arg(
            long="--settings",
            help="Settings file of a gateway: store, regions and retry budget.",
        ),
    ] = ""
    store: Annotated[
        str, cappa.Arg(long="--store", help="Address of the store, host:port.")
    ] = ""
    platform: Annotated[
        str, cappa.Arg(long="--platform", help="Folder of the platform's adapter.")
    ] = str(DEFAULT_PLATFORM)
    format: Annotated[
        Literal["text", "json"], cappa.Arg(long="--format", help="Output format.")
    ] = "text"

    def __call__(self) -> None:
        """Print the findings and the changes, and exit with the code of the worst."""
        data = _read_file(self.file)
        try:
            documents = load_documents(pathlib.Path(self.platform))
        except ImportError as exc:
            _fail(EXIT_INVALID_INPUT, f"no adapter in {self.platform}: {exc}")
        deployment, in_force = self._read_deployment(documents)
        report = check_document(
            documents, data, self.file, deployment, in_force, self.against
        )
        if self.format == "json":
            print_json(report.as_json())
        else:
            print(report.as_text())
        raise cappa.Exit(code=report.exit_code)

    def _read_deployment(
        self, documents: Documents
    ) -> tuple[Deployment, CheckedDocument | None]:
        """Return what is known of the deployment, and the document in force."""
        deployment, address = Deployment(), ""
        try:
            if self.settings:
                text = _read_file(self.settings).decode()
                deployment, address = documents.read_settings(text)
        except ValueError as exc:
            _fail(EXIT_INVALID_INPUT, f"{self.settings}: {exc}")
        if self.against != STORE:
            return deployment, self._read_other(documents)
        address = self.store or address
        if not address:
            _fail(EXIT_INVALID_INPUT, "--against store needs --store or --settings")
        try:
            in_force = asyncio.run(documents.read_in_force(address))
        except PlatformError as exc:
            _fail(EXIT_UNREACHABLE, f"store {address}: {exc}")
        deployment = deployment._replace(endpoint_counts=in_force.endpoint_counts)
        return deployment, in_force.document

    def _read_other(self, documents: Documents) -> CheckedDocument | None:
        if not self.against:
            return None
        try:
            return documents.decode(_read_file(self.against))
        except (RecursionError, ValueError) as exc:
            _fail(EXIT_INVALID_INPUT, f"{self.against} cannot be decoded: {exc}")


def _read_file(path: str) -> bytes:
    try:
        with open(path, "rb") as file:
            return file.read()
    except OSError as exc:
        _fail(EXIT_INVALID_INPUT, f"cannot read {path}: {exc.strerror}")


@cappa.command(name="slatehoist", help="Command line for operators.")
@dataclass
class Operator:
    """Arguments of ``slatehoist``."""

    command: cappa.Subcommands[
        Apply | Get | Delete | Watch | Status | Explain | Trace | Stages | Fleet | Check
    ]


def _format_in_force(summary: dict[str, Any]) -> str:
    if not summary["gateways"]:
        return "no gateway was read"
    return (
        f"configuration {summary['configuration']} in force at "
        f"{summary['in_force']} of {summary['gateways']} gateways"
    )


def _print_resources(documents: list[dict], output: str) -> None:
    if output == "json":
        print_json(documents)
        return
    print_table(RESOURCE_HEADS, [resource_row(d) for d in documents])


def main() -> None:
    """Run the command line."""
    cappa.invoke(Operator)


if __name__ == "__main__":
    main()
