"""What slatehoist promises, checked from what callers and servers saw."""

from collections.abc import Iterator

from soak.callers import DEADLINE_S, Result
from soak.servers import plain_body, stream_body
from soak.world import DRAIN_S, REVOKE_S, World

#: Statuses that say that a request has not run and will not.
NOT_RUN = frozenset({408, 421, 429, 503})
#: Seconds after its deadline within which a request has its final answer.
ANSWER_SLACK_S = 0.5
#: Kinds that may run once at most.
ONCE = frozenset({"unsafe", "once"})


def find_violations(world: World, results: list[Result]) -> Iterator[str]:
    """Give a line for each promise that was broken."""
    left_at = {
        server.server_id: server.left_at
        for server in [*world.servers, *world.retired]
        if server.left_at is not None
    }
    for result in results:
        yield from _check_answer(result)
        yield from _check_end(world, result)
        yield from _check_runs(world, result)
        yield from _check_drains(world, result, left_at)


def _check_answer(result: Result) -> Iterator[str]:
    name = f"{result.kind} {result.request_id} at {result.gateway}"
    if result.status == 200 and result.complete:
        is_stream = result.kind in ("stream", "once")
        whole = (stream_body if is_stream else plain_body)(result.request_id)
        if result.body != whole:
            yield f"{name}: not its whole answer: {result.body[:80]!r}"
        if not result.stamped:
            yield f"{name}: a success without the proof of a server"
    elif (
        result.status == 200
        and result.kind in ("stream", "once")
        and not stream_body(result.request_id).startswith(result.body)
    ):
        yield f"{name}: pieces missing, twice or of another stream"


def _check_end(world: World, result: Result) -> Iterator[str]:
    """Judge when and how a request ended, planned work or not."""
    name = f"{result.kind} {result.request_id} at {result.gateway}"
    if not world.in_touch(result.gateway, result.began, result.ended):
        return
    late_s = result.ended - result.began - DEADLINE_S
    if late_s > ANSWER_SLACK_S:
        yield f"{name}: no final answer {late_s:.1f} s after its deadline"
    if not result.status and world.runs.get(result.request_id):
        yield f"{name}: sent to a server, but its connection ended without an answer"


def _check_runs(world: World, result: Result) -> Iterator[str]:
    runs = world.runs.get(result.request_id, [])
    name = f"{result.kind} {result.request_id} at {result.gateway}"
    if result.kind in ONCE and len(runs) > 1:
        yield f"{name}: ran {len(runs)} times"
    if result.kind in ONCE and result.status in NOT_RUN and runs:
        yield f"{name}: answered {result.status}, but ran at {runs[0].server}"
    team = result.credential.rpartition("-")[0].replace("key", "team")
    if any(run.team != team for run in runs):
        yield f"{name}: ran for {runs[0].team}, but is of {team}"
    revoked_at = world.revoked.get(result.credential)
    if revoked_at is not None and runs and result.began > revoked_at + REVOKE_S:
        late_s = result.began - revoked_at
        yield f"{name}: sent {late_s:.1f} s after its credential was revoked, and ran"


def _check_drains(
    world: World, result: Result, left_at: dict[str, float]
) -> Iterator[str]:
    for run in world.runs.get(result.request_id, []):
        left = left_at.get(run.server)
        if left is None or run.at - left <= DRAIN_S:
            continue
        if world.is_calm(result.gateway, left, run.at):
            yield (
                f"{result.kind} {result.request_id} at {result.gateway}: "
                f"ran at {run.server}, {run.at - left:.1f} s after it left"
            )
