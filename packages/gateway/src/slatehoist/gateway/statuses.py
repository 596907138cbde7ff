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
from slatehoist.maps import SUBSCRIPTION_RENEWAL_S, RankStatus, Subscription

log = logging.getLogger(__name__)


#: Seconds between checks for hosts of new endpoints.
HOST_POLL_S = 0.1


class StatusFeed(asyncio.DatagramProtocol):
    """Subscribe to the agents on the hosts of lock-step groups' endpoints.

    Parameters
    ----------
    listen : tuple of (str, int)
        Address of this gateway; agents listen on the same port.
    on_status : callable
        Called with the endpoint's id and pace for each status.
    """

    def __init__(
        self,
        instance: str,
        listen: tuple[str, int],
        directory: EndpointDirectory,
        health: EndpointHealth,
        on_status: Callable[[str, float], None],
        clock: Callable[[], float],
    ) -> None:
        self._listen = listen
        self._directory = directory
        self._health = health
        self._on_status = on_status
        self._clock = clock
        self._subscription = msgspec.msgpack.encode(Subscription(instance))
        self._decoder = msgspec.msgpack.Decoder(RankStatus)
        self._transport: asyncio.DatagramTransport | None = None

    async def run(self, services: Callable[[], list[str]]) -> None:
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
            renewed_at, subscribed = float("-inf"), set()
            while True:
                hosts = self._hosts(services())
                now = self._clock()
                if now - renewed_at >= SUBSCRIPTION_RENEWAL_S:
                    self._subscribe(hosts)
                    renewed_at = now
                else:
                    self._subscribe(hosts - subscribed)
                subscribed = hosts
                await asyncio.sleep(HOST_POLL_S)
        finally:
            self._transport.close()

    def _hosts(self, services: list[str]) -> set[str]:
        return {
            endpoint.address.rpartition(":")[0]
            for service in services
            for endpoint in self._directory.of_service(service)
        }

    def _subscribe(self, hosts: set[str]) -> None:
        for host in hosts:
            self._transport.sendto(self._subscription, (host, self._listen[1]))

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
        self._on_status(name, status.pace)

    def error_received(self, exc: Exception) -> None:
        """Ignore that an agent is unreachable; its missing statuses show that too."""
        log.debug("datagram_refused", extra={"why": repr(exc)})
