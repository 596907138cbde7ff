"""Settings and constants of the gateway."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import NamedTuple


class GatewaySettings(NamedTuple):
    """Settings of one gateway instance; times in seconds.

    Attributes
    ----------
    instance, zone : str
        Name and availability zone of this instance.
    listen, ready_listen : str
        Addresses (``host:port``) for callers and for readiness checks.
    metrics_listen : tuple of (str, int) or None
        Address on which metrics are served; None if they are not.
    status_listen : tuple of (str, int) or None
        Address that receives the statuses of ranks; None if there are no agents.
    grace_s : float
        Time between SIGTERM and SIGKILL.
    revoke_s : float
        Longest time for which a revoked credential may still be accepted.
    retry_ratio, retry_allowance, retry_window_s : float
        Bound on the retries that all instances together send to a service: in any
        window of `retry_window_s`, at most `retry_ratio` times the first attempts plus
        `retry_allowance`.
    stall_s : float
        Time for which an endpoint waits for the other ranks of its group before it
        fails.
    heartbeat_s : float
        Time between heartbeats of an endpoint to the list.
    drain_s : float
        Time from an endpoint's notice that it leaves until it may get no requests.
    contact_s : float
        Time within which an instance in touch with the store must act on what others
        wrote there, for example on reports of crashes.
    evacuation_s : float
        Time from the evacuation of a zone until its endpoints may get no requests.
    cold_excess, cold_slack : float
        Bound on the requests that a cold endpoint may get in one second from all
        instances together: `cold_excess` times its stated rate plus `cold_slack`.
    admits_by_urgency : bool
        True if urgent requests go before others where capacity is short.
    zone_regions : mapping of str to str
        Region of each availability zone.
    """

    instance: str
    zone: str
    listen: str
    ready_listen: str
    metrics_listen: tuple[str, int] | None = None
    status_listen: tuple[str, int] | None = None
    grace_s: float = 8.0
    revoke_s: float = 5.0
    retry_ratio: float = 0.2
    retry_allowance: float = 90.0
    retry_window_s: float = 10.0
    stall_s: float = 1.5
    heartbeat_s: float = 1.2
    drain_s: float = 2.0
    contact_s: float = 3.0
    evacuation_s: float = 5.0
    cold_excess: float = 1.0
    cold_slack: float = 0.0
    admits_by_urgency: bool = False
    zone_regions: Mapping[str, str] = MappingProxyType({})

    @property
    def drain_limit_s(self) -> float:
        """Return the time from SIGTERM until requests in progress are ended.

        The platform accepts that in the last sixth of the grace time only.
        """
        margin_s = min(GRACE_MARGIN_S, self.grace_s * GRACE_MARGIN_RATIO)
        return self.grace_s - margin_s

    @property
    def endpoint_poll_s(self) -> float:
        """Return the time between two reads of the endpoint list."""
        return self.drain_s * ENDPOINT_POLL_RATIO

    @property
    def endpoint_relist_s(self) -> float:
        """Return the time for which missing endpoints are kept after an outage.

        It is the time in which expired endpoints are listed again, plus one read. If
        `contact_s` is short, it ends earlier, so that requests to endpoints that have
        left arrive by then: the first read that succeeds begins up to one interval
        after the outage has ended, and a connect takes some time.
        """
        detection_s = ENDPOINT_HEDGE_S + STORE_ANSWER_S
        latest_s = self.contact_s - detection_s - CONNECT_TIMEOUT_S
        return max(0.0, min(ENDPOINT_RELIST_S + self.endpoint_poll_s, latest_s))

    @property
    def crash_poll_s(self) -> float:
        """Return the longest time that one poll for crash reports lasts.

        On a connection that has gone silent, reports arrive only after the poll and its
        time-out.
        """
        return self.contact_s * CRASH_POLL_RATIO

    @property
    def row_ttl_s(self) -> float:
        """Return the longest time for which the list shows an endpoint that ended."""
        return self.heartbeat_s * ROW_TTL_HEARTBEATS

    @property
    def min_outage_s(self) -> float:
        """Return the shortest outage of the list in which a row can expire."""
        return self.heartbeat_s * (EXPIRY_HEARTBEATS - 1)

    @property
    def max_list_age_s(self) -> float:
        """Return the age from which requests wait for the list that is due."""
        return self.drain_s * MAX_LIST_AGE_RATIO

    @property
    def max_zones_age_s(self) -> float:
        """Return the age from which requests wait for the read of the zones."""
        return self.evacuation_s * MAX_ZONES_AGE_RATIO


#: Fraction of `revoke_s` for which credentials are trusted after the last read. The
#: rest covers change notifications of the store that arrive about a second late.
TRUST_RATIO = 0.78
#: Age of the configuration in seconds from which an instance is not ready: by then two
#: reads have failed. The platform needs two more seconds to route callers to other
#: instances, and at about that time credentials are no longer trusted.
READY_MAX_AGE_S = 2.5
#: Seconds that a long poll for configuration changes lasts. Each one confirms that the
#: configuration is current, so it must be much shorter than the time for which
#: credentials are trusted.
CONFIG_LONG_POLL_S = 1.0
#: Seconds that a read of the configuration may last beyond its wait and its time-out.
#: If it lasts longer, this process stood still meanwhile.
CONFIG_READ_MARGIN_S = 0.6
#: Time between reads of the endpoint list, as a fraction of `drain_s`: less than half,
#: so that some reads may get no answer. Each read is a billed call, and returns a row
#: for each endpoint.
ENDPOINT_POLL_RATIO = 0.4
#: Seconds after which a read of the list that has no answer is repeated on another
#: connection; a slow store answers within 0.25 s.
ENDPOINT_HEDGE_S = 0.35
#: Shortest time in seconds between a read of the list and one that is requested because
#: the list is outdated; each read is a billed call.
MIN_READ_INTERVAL_S = 0.3
#: Seconds before a background task that has failed is started again.
TASK_RESTART_S = 0.5
#: Seconds before a failed call to the store is retried.
STORE_RETRY_S = 0.3
#: Seconds after an outage of the store within which expired endpoints list themselves
#: again, according to the platform.
ENDPOINT_RELIST_S = 2.0
#: Seconds before the end of the relist time at which the list is read once more.
RELIST_READ_LEAD_S = 0.1
#: Usual longest time in seconds until the store, once available again, has answered.
STORE_ANSWER_S = 0.1
#: Timeout in seconds of a connect to an endpoint. A healthy one accepts within a few
#: milliseconds; an instance without power never answers.
CONNECT_TIMEOUT_S = 0.4
#: Seconds for which an idle connection to an endpoint is kept. The gateway must close
#: it before the endpoint does: if the endpoint closes it while a request is being sent,
#: it is unknown whether the request ran.
POOL_IDLE_S = 4.0
#: Shortest time in seconds before the deadline at which an attempt is still started.
MIN_ATTEMPT_S = 0.03
#: Seconds beyond `stall_s` after which a silent stream is treated as lost.
STREAM_IDLE_MARGIN_S = 0.3
#: Timeout of an attempt that can be repeated, as a multiple of the route's latency
#: objective.
ATTEMPT_TIMEOUT_OBJECTIVES = 1.0
#: Seconds for which a request waits for a group that has all its ranks and is forming:
#: this takes up to 0.6 s according to the platform, and statuses lag a few tenths of a
#: second.
GROUP_FORMING_WAIT_S = 1.0
#: Seconds between checks whether a forming group is open.
GROUP_FORMING_POLL_S = 0.03
#: Pace (time of a pass as a multiple of the usual one) from which streams are moved to
#: other endpoints. To resume a stream, another endpoint has to process its prompt
#: again. Two passes at this pace delay the whole group by more than the processing of a
#: prompt takes.
MOVE_STREAMS_PACE = 3.0
#: Age of the configuration in seconds above which a failed lookup is answered with 503
#: instead of 404 or 401, since the configuration may be out of date.
STALE_LOOKUP_S = 2.5
#: Seconds after SIGTERM for which new connections are still served: the platform checks
#: readiness each second and removes an instance after two failed checks.
LEAVE_ROTATION_S = 3.2
#: Seconds after SIGTERM from which a request is served only if it certainly ends before
#: this process does. What callers send in the first three seconds may be ended at the
#: end of the grace time; a busy process notices the signal some tenths later.
LATE_REQUEST_S = 2.7
#: Seconds after the last accepted connection for which idle connections stay open, for
#: requests that are on their way on it.
ACCEPTED_WAIT_S = 0.5
#: Seconds of the grace time that are reserved for the process to exit by itself, and
#: their largest fraction of it.
GRACE_MARGIN_S = 0.7
GRACE_MARGIN_RATIO = 1 / 8
#: Seconds between counts of the instances. Counts and renewals are billed calls, and
#: the number of instances changes only when instances are added or replaced.
REGISTRY_POLL_S = 10.0
#: Longest time in seconds until all instances have counted a new one: one interval
#: plus a slow call.
REGISTRY_PROPAGATION_S = REGISTRY_POLL_S + 1.0
#: Seconds between renewals of an instance's own row.
REGISTRY_RENEWAL_S = 60.0
#: Registered gateways from which endpoints are chosen by allocated and estimated free
#: slots. With fewer, few requests are sent by the same reports.
EVEN_CHOICE_INSTANCES = 6
#: Fraction of `retry_ratio` that each instance uses. The windows of the instances do
#: not coincide; with the whole ratio, the retries of all instances together could
#: exceed it in some windows.
RETRY_RATIO_USED = 0.75
#: Heartbeats after whose absence the platform removes a row. The last one may have been
#: sent just before an outage.
EXPIRY_HEARTBEATS = 3
#: Age of the list, as a fraction of `drain_s`, above which a request waits for the read
#: that is due; the rest is left for connecting. One read may fail before.
MAX_LIST_AGE_RATIO = 0.7
#: Age of the evacuated zones, as a fraction of `evacuation_s`, above which a request
#: waits for the read that is due; the rest is left for that wait and for connecting. A
#: silent store is known as unavailable before, after at most 3.2 s.
MAX_ZONES_AGE_RATIO = 0.7
#: Longest wait in seconds for a list that is overdue. Without it the request is sent:
#: the store may be silent, which must not delay callers further.
LIST_WAIT_S = 0.3
#: Heartbeats after whose absence the row of an endpoint is certainly gone: the platform
#: removes it after three, and may be late by one.
ROW_TTL_HEARTBEATS = 4
#: Seconds without data from an endpoint after which it is probed when a request ends
#: without an answer: callers leave after two seconds.
PROBE_SILENCE_S = 1.0
#: Length of a long poll for the gateways' crash reports, as a fraction of `contact_s`.
CRASH_POLL_RATIO = 0.5
#: Largest body of an endpoint's response that is no stream, and the bytes of all such
#: bodies that are being read at the same time.
MAX_REPLY_BYTES = 4 * 1024 * 1024
MAX_BUFFERED_BYTES = 24 * 1024 * 1024
#: Parts of a prompt that a log line names.
MAX_LOGGED_PARTS = 8
#: Findings of one configuration that are logged, one line each. A process may write 400
#: lines at once, and 8,000 entries can have thousands of findings.
MAX_LOGGED_FINDINGS = 20
