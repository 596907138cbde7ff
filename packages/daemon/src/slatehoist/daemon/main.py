"""Command line of ``slatehoistd``."""

import asyncio
import contextlib
import signal
import sys
import time
from dataclasses import dataclass
from typing import Annotated

import cappa
import uvloop

from slatehoist.config import InvalidError, guess_role, load_settings
from slatehoist.daemon.logs import configure_logging
from slatehoist.daemon.tracing import configure_tracing

#: Exit code for invalid settings.
EXIT_INVALID = 2

ConfigPath = Annotated[str, cappa.Arg(long="--config", help="Settings file in TOML.")]


@cappa.command(help="Run an entry: callers' HTTP and the resource API.")
@dataclass
class Entry:
    """Arguments of ``slatehoistd entry``."""

    config: ConfigPath

    def __call__(self) -> None:
        """Run until a signal stops the process."""
        from slatehoist.daemon.entry import EntryProcess

        _run("entry", self.config, EntryProcess)


@cappa.command(help="Run the sidecar of one endpoint.")
@dataclass
class Sidecar:
    """Arguments of ``slatehoistd sidecar``."""

    config: ConfigPath

    def __call__(self) -> None:
        """Run until a signal stops the process."""
        from slatehoist.daemon.sidecar import SidecarProcess

        _run("sidecar", self.config, SidecarProcess)


@cappa.command(help="Check a settings file and print every finding.")
@dataclass
class Check:
    """Arguments of ``slatehoistd check``."""

    config: ConfigPath
    role: Annotated[
        str, cappa.Arg(long="--role", help="entry or sidecar; guessed if absent.")
    ] = ""

    def __call__(self) -> None:
        """Check the settings and print the result."""
        _load(self.role or guess_role(self.config), self.config)
        print(f"{self.config}: ok")


@cappa.command(name="slatehoistd", help="Load balancer daemon.")
@dataclass
class Daemon:
    """Arguments of ``slatehoistd``."""

    command: cappa.Subcommands[Entry | Sidecar | Check]


def _load(role: str, path: str):
    try:
        return load_settings(role, path)
    except InvalidError as exc:
        for finding in exc.findings:
            print(finding, file=sys.stderr)
        raise cappa.Exit(code=EXIT_INVALID) from exc


def _run(role: str, path: str, process_cls: type) -> None:
    cfg = _load(role, path)
    configure_logging(cfg.log, role=role, instance=cfg.instance.name)
    configure_tracing(cfg.observe, f"slatehoist-{role}", cfg.instance.name)
    process = process_cls(cfg, time.monotonic)
    uvloop.run(_run_until_stopped(process))


async def _run_until_stopped(process) -> None:
    """Run a process; a first SIGTERM or SIGINT drains it, a second one stops it."""
    loop = asyncio.get_running_loop()
    drain = asyncio.Event()
    stop = asyncio.Event()

    def on_signal() -> None:
        (stop if drain.is_set() else drain).set()

    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, on_signal)
    await process.start()
    await drain.wait()
    draining = asyncio.create_task(process.drain())
    stopping = asyncio.create_task(stop.wait())
    await asyncio.wait({draining, stopping}, return_when=asyncio.FIRST_COMPLETED)
    for task in (draining, stopping):
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task
    await process.stop()


def main() -> None:
    """Run the command line."""
    cappa.invoke(Daemon)


if __name__ == "__main__":
    main()
