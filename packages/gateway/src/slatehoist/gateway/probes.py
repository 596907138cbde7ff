"""Connection probes: prompt evidence that an endpoint which lost a request is down."""

import asyncio
import logging
from collections.abc import Awaitable, Callable

from slatehoist.gateway.crash_reports import CrashReports
from slatehoist.gateway.model import Endpoint
from slatehoist.gateway.upstream import NotSentError

log = logging.getLogger(__name__)

#: Seconds between two probes of an endpoint; a probe is a billed connection.
PROBE_INTERVAL_S = 1.0


class EndpointProbes:
    """Probe endpoints that lost a request, by a connection without a request.

    An endpoint that refuses the connection or does not accept it in time counts as
    ended. One that accepts it may have started again, so that proves nothing. Without
    probes the end is known only when the endpoint's row expires or is rewritten, which
    takes some seconds.

    Parameters
    ----------
    connect : callable
        Opens and closes a connection to an address; raises `NotSentError` if it cannot.
    """

    def __init__(
        self,
        connect: Callable[[str], Awaitable[None]],
        crashes: CrashReports,
        clock: Callable[[], float],
    ) -> None:
        self._connect = connect
        self._crashes = crashes
        self._clock = clock
        self._probed_at: dict[str, float] = {}
        self._tasks: dict[str, asyncio.Task] = {}

    def start(self, endpoint: Endpoint, urgent: bool = False) -> asyncio.Task | None:
        """Start a probe, or return the one in progress.

        Return None if the last one was recent and the new one is not urgent.
        """
        address = endpoint.address
        now = self._clock()
        if address in self._tasks:
            return self._tasks[address]
        last_at = self._probed_at.get(address, float("-inf"))
        if now - last_at < PROBE_INTERVAL_S and not urgent:
            return None
        self._probed_at = {
            a: at for a, at in self._probed_at.items() if now - at < PROBE_INTERVAL_S
        }
        self._probed_at[address] = now
        task = self._tasks[address] = asyncio.create_task(self._probe(endpoint))
        return task

    async def _probe(self, endpoint: Endpoint) -> None:
        try:
            await self._connect(endpoint.address)
        except NotSentError as exc:
            log.info(
                "endpoint_unreachable",
                extra={
                    "endpoint": endpoint.endpoint_id,
                    "address": endpoint.address,
                    "refused": exc.refused,
                },
            )
            self._crashes.record_end(endpoint)
        finally:
            del self._tasks[endpoint.address]
