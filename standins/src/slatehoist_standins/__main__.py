"""Run one stand-in: ``python -m slatehoist_standins NAME PORT [key=value ...]``."""

import asyncio
import importlib
import signal
import sys

from aiohttp import web


async def _serve(app: web.Application, port: int) -> None:
    runner = web.AppRunner(app, shutdown_timeout=0.2)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", port).start()
    stop = asyncio.Event()
    for signum in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(signum, stop.set)
    print("ready", flush=True)
    await stop.wait()
    await runner.cleanup()


def main() -> None:
    """Build the application of the named stand-in and serve it on loopback."""
    name, port, *options = sys.argv[1:]
    module = importlib.import_module(f"slatehoist_standins.{name}")
    app = module.build_app(**dict(option.split("=", 1) for option in options))
    asyncio.run(_serve(app, int(port)))


if __name__ == "__main__":
    main()
