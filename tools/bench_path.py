"""Measure the overhead of the path through entry and sidecar.

The same load is sent directly to the engine's stand-in, and through one entry and one
sidecar, in one run. The last line of the output is JSON.
"""

import asyncio
import json
import os
import time

import numpy as np

from slatehoist_standins.fleet import Fleet, bearer

ROUTER_HEADERS = bearer("andina-router")
#: Concurrent streams, tokens of each stream, and rounds in the measurement of streams.
STREAMS = 40
TOKENS = 60
ROUNDS = 3
#: Short requests in the measurement of capacity, and how many run concurrently.
SHORT_REQUESTS = 1500
SHORT_PARALLEL = 48
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def cpu_s(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S


def memory_mb(pid: int) -> float:
    """Return the resident memory of a process, in MiB."""
    with open(f"/proc/{pid}/statm") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 2**20


async def stream(session, url: str, prompt: str) -> tuple[float, list[float]]:
    """Run one stream; return the seconds to the first token and between tokens."""
    body = {"model": "m", "prompt": prompt, "max_tokens": TOKENS, "stream": True}
    start = time.perf_counter()
    async with session.post(url, json=body, headers=ROUTER_HEADERS) as resp:
        arrivals = [
            time.perf_counter()
            async for line in resp.content
            if line.startswith(b"data: {")
        ]
    return arrivals[0] - start, list(np.diff(arrivals))


async def run_streams(session, url: str) -> dict[str, float]:
    """Run concurrent streams and return percentiles in milliseconds."""
    first_token_s, gaps_s = [], []
    for round_number in range(ROUNDS):
        calls = []
        for i in range(STREAMS):
            calls.append(
                asyncio.create_task(stream(session, url, f"{round_number}.{i}"))
            )
            await asyncio.sleep(0.011)
        for first_s, stream_gaps_s in await asyncio.gather(*calls):
            first_token_s.append(first_s)
            gaps_s += stream_gaps_s
    result = {}
    for name, values in (("first", first_token_s), ("gap", gaps_s)):
        for q in (50, 95, 99):
            result[f"{name}_p{q}_ms"] = float(np.percentile(values, q)) * 1000
    return result


async def run_short(session, url: str) -> float:
    """Run short unstreamed requests and return the requests per second."""
    semaphore = asyncio.Semaphore(SHORT_PARALLEL)

    async def call(i: int) -> None:
        body = {"model": "m", "prompt": f"s{i}", "max_tokens": 1}
        async with (
            semaphore,
            session.post(url, json=body, headers=ROUTER_HEADERS) as resp,
        ):
            await resp.read()

    start = time.perf_counter()
    await asyncio.gather(*(call(i) for i in range(SHORT_REQUESTS)))
    return SHORT_REQUESTS / (time.perf_counter() - start)


async def main() -> None:
    """Run the bench and print its report."""
    async with Fleet() as fleet:
        await fleet.start_platform()
        entry = await fleet.start_entry("entry-0", log={"level": "warning"})
        engine = await fleet.start_standin("engine", "engine", batch=64, slope=0)
        endpoint = {"name": "llm", "url": engine, "concurrency": 64}
        await fleet.start_sidecar("sidecar-0", endpoint, log={"level": "warning"})
        await fleet.declare(entry, "endpoint", "llm", {"models": ["m"]})
        await fleet.wait_for_sidecars(entry, 1)
        urls = {
            "direct": f"{engine}/v1/completions",
            "path": f"http://{entry.http}/v1/completions",
        }
        pids = {n: fleet.processes[n].pid for n in ("entry-0", "sidecar-0")}
        report: dict = {}
        for name, url in urls.items():
            cpu_before = {n: cpu_s(p) for n, p in pids.items()}
            report[name] = await run_streams(fleet.session, url)
            used = {n: cpu_s(p) - cpu_before[n] for n, p in pids.items()}
            tokens = STREAMS * ROUNDS * TOKENS
            if name == "path":
                report["tokens_per_core_s"] = {n: tokens / u for n, u in used.items()}
        cpu_before = {n: cpu_s(p) for n, p in pids.items()}
        report["short_per_s"] = await run_short(fleet.session, urls["path"])
        report["short_per_core_s"] = {
            n: SHORT_REQUESTS / (cpu_s(p) - cpu_before[n]) for n, p in pids.items()
        }
        report["short_per_s_direct"] = await run_short(fleet.session, urls["direct"])
        report["memory_mb"] = {n: memory_mb(p) for n, p in pids.items()}
    direct, path = report["direct"], report["path"]
    report["added_ms"] = {k: path[k] - direct[k] for k in direct}
    report["ratio"] = {k: path[k] / direct[k] for k in direct}
    print(json.dumps(report, default=float, indent=1))
    print(json.dumps(report, default=float))


if __name__ == "__main__":
    asyncio.run(main())
