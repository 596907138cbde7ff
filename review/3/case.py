"""Rolling restart: requests on kept channels that arrive late in the drain are cut."""

import asyncio
import pathlib
import signal
import sys
import time

from harness.deployment import (
    GRACE_S,
    HOST,
    Deployment,
    NotRunError,
    Record,
    new_id,
    route,
    run_script,
)
from harness.http import Channel, Reply

#: Channels to the gateway that is stopped.
CHANNELS = 6
#: Seconds between the SIGTERM and the requests, on channels that are still open.
SENT_AFTER_S = (3.1, 3.2, 3.3)
#: Seconds between two events: a stream of 26 events takes 5.2 s, less than the client's
#: deadline and the timeout of the route.
EVENT_PAUSE_S = 0.2
DEADLINE_MS = 8050
#: Timeout of the route; a request that reaches it is not counted.
ROUTE_TIMEOUT_S = 8.0


def headers() -> dict[str, str]:
    """Return the headers of a new request."""
    return {"Host": HOST, "Request-Id": new_id(), "Deadline-Ms": str(DEADLINE_MS)}


async def send(channel: Channel, record: Record, since: float) -> tuple[float, Reply]:
    """Send one request; return when it was sent, from `since` on, and its answer."""
    fields = headers()
    sent_s = time.monotonic() - since
    record.write("sent", request=fields["Request-Id"], after_s=round(sent_s, 3))
    reply = await channel.request("POST", "/draft/1", fields, b"{}")
    record.write(
        "answered",
        request=fields["Request-Id"],
        status=reply.status,
        complete=reply.complete,
        events=reply.body.count(b"\n\n"),
        after_s=round(reply.ended_at - since, 3),
    )
    return sent_s, reply


def is_lost(sent_s: float, reply: Reply, since: float) -> bool:
    """Return True if the rule counts a request.

    Its channel ended without a complete answer after it was passed on, before its
    deadline and the timeout of its route, and it was sent later than 3 s after the
    SIGTERM, so that the excuse for the last sixth of the grace time does not apply.
    """
    took_s = reply.ended_at - since - sent_s
    was_passed_on = reply.status == 200
    return (
        not reply.complete
        and was_passed_on
        and 3.0 < sent_s <= GRACE_S + 1.0
        and took_s < min(DEADLINE_MS / 1000, ROUTE_TIMEOUT_S)
    )


async def case(record: Record, is_troubled: bool) -> bool:
    """Return True if no request was lost."""
    deployment = Deployment(record)
    try:
        await deployment.start([route("draft")], 2, 3)
        channels = [Channel(deployment.fronts["front-0"]) for _ in range(CHANNELS)]
        for channel in channels:
            await channel.open()
        began_at = time.monotonic()
        first = await asyncio.gather(*(send(c, record, began_at) for c in channels))
        if not all(reply.complete for _, reply in first):
            raise NotRunError("requests fail before the disruption")
        for server in deployment.servers:
            server.event_pause_s = EVENT_PAUSE_S
        since = time.monotonic()
        if is_troubled:
            deployment.processes.signal("front-0", signal.SIGTERM)
        sends = []
        for number, channel in enumerate(channels):
            due_s = SENT_AFTER_S[number % len(SENT_AFTER_S)]
            await asyncio.sleep(max(0.0, since + due_s - time.monotonic()))
            if not channel.is_open:
                record.write("channel closed before", number=number)
                continue
            sends.append(asyncio.create_task(send(channel, record, since)))
        results = await asyncio.gather(*sends)
        lost = sum(is_lost(sent_s, reply, since) for sent_s, reply in results)
        record.write("judged", sent=len(results), lost=lost)
        return lost == 0
    finally:
        await deployment.stop()


if __name__ == "__main__":
    # The argument is the variable TROUBLE of run.sh.
    is_troubled = sys.argv[1:] != ["0"]
    sys.exit(run_script(pathlib.Path(__file__).parent, case, is_troubled))
