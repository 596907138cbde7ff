"""Settings of the gateway, with their defaults, units and sources."""

from typing import NamedTuple


class GatewaySettings(NamedTuple):
    """Settings of one gateway instance; times in seconds.

    Attributes
    ----------
    instance, zone : str
        Name and availability zone of this instance.
    listen, ready_listen : str
        Addresses (``host:port``) for callers and for readiness questions.
    metrics_listen : tuple of (str, int) or None
        Address for metrics; None for none.
    status_listen : tuple of (str, int) or None
        Address for statuses of ranks; None if there are no agents.
    grace_s : float
        Time between SIGTERM and SIGKILL.
    revoke_s : float
        Time after which a revoked credential must not be accepted anywhere.
    retry_ratio, retry_allowance, retry_window_s : float
        Bound on repeats to a service by all instances together.
    stall_s : float
        Time for which endpoints wait for a peer of their group before they give up.
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


#: Part of `revoke_s` for which credentials are trusted after the last read. The rest
#: covers notifications of the store that are late by about a second.
TRUST_RATIO = 0.78
#: Age of the configuration, in seconds, from which on an instance is not ready: two
#: reads have failed. The platform needs two more seconds to send callers elsewhere,
#: and credentials stop to be trusted about then.
READY_AGE_S = 2.5
#: Seconds that a wait for configuration changes lasts. Each end confirms that the
#: configuration is current, so it lies well below the time of trust.
CONFIG_WAIT_S = 1.0
#: Seconds between reads of the endpoint list: under half of the shortest drain time
#: (2 s) that deployments state, so one lost read is borne.
ENDPOINT_POLL_S = 0.8
#: Seconds before a failed call to the store is repeated.
STORE_RETRY_S = 0.3
#: Seconds after an outage of the store within which lapsed endpoints list themselves
#: again: about two by the platform's word, and one poll.
RELIST_S = 2.8
#: Seconds within which a connection to an endpoint must be made. A healthy one takes
#: some milliseconds; a machine without power never answers.
CONNECT_TIMEOUT_S = 0.4
#: Seconds for which an idle connection to an endpoint is kept. Endpoints close idle
#: ones themselves; a request sent at that moment could not be told from one that ran.
POOL_IDLE_S = 4.0
#: Least time left, in seconds, for which an attempt is made.
MIN_ATTEMPT_S = 0.03
#: Seconds beyond the stall time after which a silent stream is taken as lost.
SILENCE_MARGIN_S = 0.3
#: Times the latency objective after which a silent attempt that may be repeated is.
REPEAT_AFTER_OBJECTIVES = 1.0
#: Seconds for which a request waits for a group that has all its ranks: it forms in
#: 0.6 s by the platform's sheet, and statuses are some tenths of a second late.
FORMING_WAIT_S = 1.0
#: Seconds between looks at such a group.
FORMING_POLL_S = 0.03
#: Pace from which on streams are moved away from an endpoint. Moving costs a read of
#: the prompt at another one; a rank that needs three times as long holds up a whole
#: group by more than that in two passes.
MOVING_PACE = 3.0
#: Age of the configuration, in seconds, above which a lookup that finds nothing is
#: answered "unavailable" rather than "not found", since it may just be out of date.
STALE_LOOKUP_S = 2.5
#: Seconds after SIGTERM for which new connections are still served: the platform asks
#: for readiness each second and leaves an instance out after two misses.
LEAVE_ROTATION_S = 3.2
#: Part of the grace time that is left unused, for the process to end by itself.
GRACE_MARGIN_S = 0.7
#: Seconds between counts of the instances, and between renewals of the own row. Both
#: are priced calls, and the number changes only when instances are added or replaced.
REGISTRY_POLL_S = 10.0
#: Seconds until all instances have counted a new one: one count and a slow call.
REGISTRY_COUNTED_S = REGISTRY_POLL_S + 1.0
REGISTRY_RENEWAL_S = 60.0
#: Part of the retry ratio that is used, so that different windows of the instances
#: cannot add up to more than the whole.
RETRY_RATIO_USED = 0.75
#: Seconds between a response that breaks off and the sign that its endpoint is down
#: within which they count as one crash: some reads of the endpoint list.
CRASH_CONFIRM_S = 3.0
#: Seconds that a wait for other gateways' crash reports lasts; it costs one call.
CRASH_FEED_WAIT_S = 10.0
