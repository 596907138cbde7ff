"""Measure the cost of control traffic and of decisions.

Links with heartbeats run over real sockets on loopback, with both ends in this process.
They are measured at several numbers of links; the cost per link is the slope of a line
fitted to the results. The rest is measured per call or per message: configuration
changes, quotas, routing decisions, map orders, expert plans and claims. The last line
of the output is JSON.
"""

import asyncio
import json
import os
import random
import resource
import time
import tracemalloc

import numpy as np

from slatehoist.config import Replica, Resource
from slatehoist.coord import WriteBatcher
from slatehoist.daemon.configsync import decode_changes, encode_changes
from slatehoist.experts import FullReplanner, MoveCost, Planner, initial_placement
from slatehoist.routing import (
    Candidate,
    FairQueue,
    LoadAwareChooser,
    Peer,
    QuotaHolder,
    QuotaHome,
    Ticket,
    choose_subset,
)
from slatehoist.storage import Check, MemoryTable, Write
from slatehoist.wire import Link, LinkServer, decode, encode
from slatehoist.wire.messages import ConfigAnswer, Heartbeat, MapOrder, MapReply

#: Seconds for which links that carry only heartbeats are measured.
MEASURE_S = 6.0


def heartbeat() -> Heartbeat:
    """Return a heartbeat of typical size."""
    return Heartbeat("instance-000", "0" * 16, False, 1.0, 0.02, 1000, "endpoint-000")


async def measure_links(count: int) -> dict[str, float]:
    """Measure the processor time and traffic of links that carry only heartbeats.

    Both ends run in this process, so one end accounts for half of the processor time.
    """
    servers = [LinkServer("127.0.0.1:0", {}, heartbeat) for _ in range(count)]
    for server in servers:
        server.start()
    links = [Link(s.address, heartbeat, time.monotonic) for s in servers]
    for link in links:
        link.start()
    await asyncio.sleep(1.5)
    before = [link.traffic for link in links]
    cpu_start, start = time.process_time(), time.monotonic()
    await asyncio.sleep(MEASURE_S)
    cpu_s = time.process_time() - cpu_start
    seconds = time.monotonic() - start
    after = [link.traffic for link in links]
    sent = sum(a.sent_bytes - b.sent_bytes for a, b in zip(after, before, strict=True))
    messages = sum(a.sent - b.sent for a, b in zip(after, before, strict=True))
    for link in links:
        await link.close()
    for server in servers:
        await server.close()
    return {
        "links": count,
        "core": cpu_s / seconds,
        "sent_bytes_s": sent / seconds,
        "messages_s": messages / seconds,
    }


def slope(rows: list[dict[str, float]], x: str, y: str) -> float:
    """Return the slope of a line fitted to two columns of the rows."""
    return float(np.polyfit([r[x] for r in rows], [r[y] for r in rows], 1)[0])


def cpu_s_per_call(func, calls: int) -> float:
    """Return the mean processor time of a call, in seconds."""
    start = time.process_time()
    for _ in range(calls):
        func()
    return (time.process_time() - start) / calls


def allocated_bytes(build) -> float:
    """Return the bytes of memory that a built object occupies."""
    tracemalloc.start()
    kept = build()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return float(size)


def make_change(revision: int) -> Resource:
    """Return a change of the configuration that declares a team."""
    spec = {"rate_per_s": 10.0, "weight": 1.0, "priority": 5}
    return Resource("team", f"team-{revision:05d}", "andina", spec, 1, revision)


def measure_config() -> dict[str, float]:
    """Measure a change's message size, its processor time, and a resource's memory."""
    teams = 6900
    changes = [make_change(i) for i in range(1, teams + 1)]
    replica = Replica()
    start = time.process_time()
    replica.apply(changes)
    apply_s = (time.process_time() - start) / teams
    answer = encode_changes(replica, teams - 1)

    def build() -> Replica:
        new_replica = Replica()
        new_replica.apply([make_change(i) for i in range(1, teams + 1)])
        return new_replica

    packed = encode(answer)
    return {
        "bytes_per_change": float(len(packed)),
        "apply_s": apply_s,
        "decode_s": cpu_s_per_call(
            lambda: decode_changes(decode(packed, ConfigAnswer)), 2000
        ),
        "memory_per_resource": allocated_bytes(build) / teams,
    }


def measure_quotas() -> dict[str, float]:
    """Measure a renewal of a quota share, and taking one request from the share.

    The renewal includes the work of the home entry and of the holder.
    """
    home, holder = QuotaHome(), QuotaHolder(100.0, 10, 0.0)
    clock = iter(range(10**9))

    def renew() -> None:
        now = next(clock) * 0.01
        holder.renew(home.grant("t", "e", holder.measure_demand(now), 100.0, now), now)

    return {
        "renew_s": cpu_s_per_call(renew, 20000),
        "take_s": cpu_s_per_call(_make_take(holder), 20000),
    }


def _make_take(holder: QuotaHolder):
    now = iter(range(10**9))
    return lambda: holder.take(next(now) * 1e-3)


def measure_decisions() -> dict[str, float]:
    """Measure a choice of an endpoint, a push and pop of the fair queue, and a subset.

    The choice is among 64 endpoints; the subset is 64 of 880 sidecars.
    """
    rng = random.Random(1)
    candidates = [
        Candidate(f"s{i}", "abc"[i % 3], i % 5, 10.0, 1, 0.3) for i in range(64)
    ]
    chooser = LoadAwareChooser(rng)
    queue = FairQueue(100_000)
    peers = [Peer(f"s{i}", f"z{i % 12}") for i in range(880)]

    def push_and_pop() -> None:
        queue.push(Ticket("andina", f"t{rng.randrange(50)}", 50.0, 5, 1e9), 0.0)
        queue.pop(0.0)

    return {
        "choose_s": cpu_s_per_call(
            lambda: chooser.choose(candidates, "a", (), 77), 3000
        ),
        "queue_s": cpu_s_per_call(push_and_pop, 20000),
        "subset_s": cpu_s_per_call(lambda: choose_subset("e", peers, 64), 20),
    }


def measure_map() -> dict[str, float]:
    """Measure message sizes of a switch, and planning time for the largest group."""
    placement = np.zeros((58, 64, 2), dtype=np.int32)
    body = json.dumps(placement.tolist()).encode()
    order = MapOrder("g", 1, "arm", 3, "0" * 16, 7, 12345)
    stage = order._replace(verb="stage", placement=body)
    reply = MapReply(1, True, "", 3, "0" * 16, 6, [6, 7], 12345, 12300, 6, 11000)
    rng = np.random.default_rng(1)
    popularity = 1 / np.arange(1, 65) ** 0.8
    loads = np.stack([rng.permutation(popularity) for _ in range(58)])
    first = FullReplanner().plan(initial_placement(58, 64, 64, 32), loads)
    drifted = loads * np.exp(rng.normal(0, 0.06, loads.shape))
    planner = Planner(MoveCost(), 1.0)
    readings = np.stack([loads, loads, drifted])
    return {
        "order_bytes": float(len(encode(order))),
        "reply_bytes": float(len(encode(reply))),
        "stage_bytes": float(len(encode(stage))),
        "plan_s": cpu_s_per_call(lambda: planner.plan(first, readings), 2),
    }


async def measure_claims() -> dict[str, float]:
    """Measure the transactions per claim at 100 and 1,000 claims per second."""
    result = {}
    for rate in (100, 1000):
        table = MemoryTable()
        batcher = WriteBatcher(table)
        writes = []
        for i in range(rate):
            write = batcher.write(Check("c", str(i), 0), Write("c", str(i), {}))
            writes.append(asyncio.ensure_future(write))
            await asyncio.sleep(1 / rate)
        await asyncio.gather(*writes)
        result[f"transactions_per_claim_at_{rate}"] = table.writes / rate
    return result


async def main() -> None:
    """Run the bench and print its report."""
    rows = []
    for count in (16, 64, 128):
        row = await measure_links(count)
        rows.append(row)
        print(f"{count} links: {row}", flush=True)
    report = {
        "link_core": slope(rows, "links", "core") / 2,
        "link_sent_bytes_s": slope(rows, "links", "sent_bytes_s"),
        "link_messages_s": slope(rows, "links", "messages_s"),
        **measure_config(),
        **measure_quotas(),
        **measure_decisions(),
        **measure_map(),
        **await measure_claims(),
        "peak_mb": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024,
        "seed": int(os.environ.get("SEED", "1")),
    }
    for name, value in report.items():
        print(f"  {name}: {value:.3g}")
    print(json.dumps(report))


if __name__ == "__main__":
    asyncio.run(main())
