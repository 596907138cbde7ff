"""Subscription to the status of ranks, as their agents report it.

Statuses are sent as datagrams, since each replaces the one before and a lost one does
no harm.
"""

import asyncio
import logging
import math
from collections.abc import Callable

import msgspec

from slatehoist.gateway.directory import EndpointDirectory
from slatehoist.gateway.health import EndpointHealth
from slatehoist.gateway.model import Endpoint, Service
from slatehoist.maps import SUBSCRIPTION_RENEWAL_S, RankStatus, Subscription

log = logging.getLogger(__name__)


#: Seconds between checks for hosts of new endpoints.
HOST_POLL_S = 0.1
#: Seconds without a check after which this process is taken to have stood still, and
#: seconds after that for which statuses may have waited in the receive buffer. The
#: slots that they allocate may have been allocated to another gateway since.
STANDSTILL_S = 0.3
BUFFERED_S = 0.2


class StatusFeed(asyncio.DatagramProtocol):
    """Subscribe to the agents on the hosts of lock-step groups' endpoints.

    Parameters
    ----------
    listen : tuple of (str, int)
        Address of this gateway; agents listen on the same port.
    on_status : callable
        Called with the endpoint's id and pace for each status.
    demand : callable or None
        Returns the demand to state to the agent of an endpoint of a service.
    """

    def __init__(
        self,
        instance: str,
        listen: tuple[str, int],
        directory: EndpointDirectory,
        health: EndpointHealth,
        on_status: Callable[[str, float], None],
        clock: Callable[[], float],
        demand: Callable[[Service, Endpoint, float], float] | None = None,
    ) -> None:
        self._listen = listen
        self._directory = directory
        self._health = health
        self._on_status = on_status
        self._clock = clock
        self._instance = instance
        self._demand = demand
        #: Time of the last check, and time until which statuses may be old.
        self._checked_at = float("inf")
        self._buffered_until = float("-inf")
        self._decoder = msgspec.msgpack.Decoder(RankStatus)
        self._renewed_at = float("-inf")
        #: Hosts to whose agents this process has subscribed since then.
        self._subscribed: set[str] = set()
        self._transport: asyncio.DatagramTransport | None = None

    async def run(self, services: Callable[[], list[Service]]) -> None:
        """Renew the subscriptions until cancelled.

        Parameters
        ----------
        services : callable
            Returns the services whose endpoints have agents on their hosts.
        """
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=self._listen
        )
        try:
            self._renewed_at, self._subscribed = float("-inf"), set()
            while True:
                self.check(self._clock(), services())
                await asyncio.sleep(HOST_POLL_S)
        finally:
            self._transport.close()

    def check(self, now: float, services: list[Service]) -> None:
        """Subscribe to the agents of new hosts, and to all if renewals are due."""
        self._check_standstill(now)
        self._checked_at = now
        endpoints = self._endpoints_by_host(services, now)
        if now - self._renewed_at >= SUBSCRIPTION_RENEWAL_S:
            self._renewed_at, self._subscribed = now, set()
        for host in endpoints.keys() - self._subscribed:
            self._subscribe(host, *endpoints[host], now)
        self._subscribed = set(endpoints)

    def _endpoints_by_host(
        self, services: list[Service], now: float
    ) -> dict[str, tuple[Service, Endpoint]]:
        return {
            endpoint.address.rpartition(":")[0]: (service, endpoint)
            for service in services
            for endpoint in self._directory.of_service(service.name, now)
        }

    def _subscribe(
        self, host: str, service: Service, endpoint: Endpoint, now: float
    ) -> None:
        demand = self._demand(service, endpoint, now) if self._demand else 0.0
        message = Subscription(self._instance, round(demand, 3))
        self._transport.sendto(msgspec.msgpack.encode(message), (host, self._listen[1]))

    def _check_standstill(self, now: float) -> None:
        if now - self._checked_at > STANDSTILL_S:
            self._buffered_until = now + BUFFERED_S

    def datagram_received(self, data: bytes, addr: tuple) -> None:
        """Record the status that a datagram carries."""
        try:
            self._record_status(self._decoder.decode(data))
        except msgspec.DecodeError as exc:
            log.warning("datagram_unreadable", extra={"from": addr[0], "why": str(exc)})
        except Exception:
            log.exception("datagram_failed", extra={"from": addr[0]})

    def _record_status(self, status: RankStatus) -> None:
        if not (math.isfinite(status.pace) and status.pace > 0):
            raise msgspec.ValidationError(f"pace is {status.pace}")
        endpoint = self._directory.at_address(status.address)
        if endpoint is None:
            return
        name = endpoint.endpoint_id
        now = self._clock()
        self._health.observe_load(name, status.running, status.waiting, now)
        self._health.observe_status(name, status.is_open, status.pace, now)
        self._check_standstill(now)
        is_recent = now >= self._buffered_until
        slots = max(0, status.allocated) if is_recent else 0
        self._health.observe_allocation(name, slots, now)
        self._on_status(name, status.pace)

    def error_received(self, exc: Exception) -> None:
        """Ignore that an agent is unreachable; its missing statuses show that too."""
        log.debug("datagram_refused", extra={"why": repr(exc)})
