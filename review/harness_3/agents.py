"""Agent processes beside the ranks of a group."""

import asyncio
import os
import pathlib
import subprocess
import sys

from harness_3.deployment import ROOT, Record
from slatehoist_standins.fleet import free_port

SERVICE = "model"
METRICS_PORT = 9465
#: Seconds from the end of a stopped agent until the platform starts it again.
RESTART_S = 1.0
#: Longest seconds until a stopped agent has ended.
STOP_TIMEOUT_S = 8.0


class Agents:
    """Agent processes of the group, one at the loopback address of each rank."""

    def __init__(self, folder: pathlib.Path, record: Record) -> None:
        self._folder = folder
        self._record = record
        self._processes: dict[int, subprocess.Popen] = {}
        self._paths: list[pathlib.Path] = []

    def configure(self, hosts: list[str], addresses: list[str], store: str) -> None:
        """Write the settings file of each agent."""
        port = free_port()
        for rank, (host, address) in enumerate(zip(hosts, addresses, strict=True)):
            path = self._folder / f"side-{rank}.conf"
            path.write_text(
                f"node=side-{rank}\nrole=agent\nmachineClass=side\nserves=side\n"
                f"ip={host}\nzone=a\nregion=region\nzones.a=region\n"
                f"internalPorts={port},{port + 15}\napp={address}\n"
                f"service={SERVICE}\nlimits.linkMbps=10\nlimits.memoryMb=168\n"
                "bounds.contactMs=3000\nbounds.graceS=8\nbounds.stall_ms=1500\n"
                f"provider.addr={store}\n"
            )
            self._paths.append(path)

    def start(self, rank: int) -> None:
        """Start an agent with the command of the deploy file."""
        log = open(self._folder / f"side-{rank}.log", "ab")  # noqa: SIM115
        self._processes[rank] = subprocess.Popen(
            [
                sys.executable,
                "platform/launch.py",
                "agent",
                "--metrics",
                str(METRICS_PORT),
            ],
            cwd=ROOT,
            env={
                "PATH": os.environ["PATH"],
                "HOME": os.environ.get("HOME", "/"),
                "SLATEHOIST_BOOT": str(self._paths[rank]),
                "PYTHONPATH": str(ROOT / "target" / "deps"),
            },
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        log.close()
        self._record.write(f"agent {rank} is started")

    async def restart(self, rank: int) -> None:
        """Stop an agent by SIGTERM, and start it again when it has ended."""
        proc = self._processes[rank]
        proc.terminate()
        self._record.write(f"agent {rank} gets SIGTERM")
        async with asyncio.timeout(STOP_TIMEOUT_S):
            while proc.poll() is None:
                await asyncio.sleep(0.02)
        await asyncio.sleep(RESTART_S)
        self.start(rank)

    def kill(self) -> None:
        """End all agents."""
        for proc in self._processes.values():
            if proc.poll() is None:
                proc.kill()
            proc.wait()
