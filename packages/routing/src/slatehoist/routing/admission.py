"""Admission control: which requests a service's free slots go to when they are short.

All instances see the same load of a service, a little late, and decide at the same
time. Each one therefore claims only its share of the slots that were reported free, and
reuses at once those that its own requests have left since then. A request also leaves
free what more urgent ones will need until the next reports.

A lock-step group runs all its requests in one pass. From some number of requests on,
passes take longer than the pause between events that callers accept, and then all
streams are late, while hardly more of them end per second. `PauseLimit` finds that
number.
"""

import statistics
from collections import deque
from enum import StrEnum
from typing import NamedTuple

#: Seconds until reports show a request to all instances: the interval of reports plus
#: their way.
REPORT_DELAY_S = 0.3
#: Seconds over which the arrivals of a level of urgency are counted.
ARRIVALS_WINDOW_S = 2.0
#: Arrivals that are remembered for each level; this only bounds the memory.
_MAX_ARRIVALS = 4096
#: Smallest share of an instance, as a fraction of an even one, so that an instance
#: whose callers have just arrived is not kept out.
MIN_SHARE_RATIO = 0.5

#: Fraction of the accepted pause above which the limit decreases, and below which it
#: increases.
PAUSE_HIGH = 0.9
PAUSE_LOW = 0.8
#: Seconds of events between two changes of the limit: a few passes.
PAUSE_WINDOW_S = 0.25
#: Factor of a decrease, and fraction of the slots by which the limit increases.
LIMIT_DECREASE = 0.92
LIMIT_INCREASE = 0.04
#: Lowest limit, as a fraction of the slots.
MIN_LIMIT = 0.4
#: Events in a window without which the limit stays.
MIN_EVENTS = 5

#: Fewest slots per second that are expected to become free for a waiting request.
MIN_FREE_PER_S = 0.1

#: Weight of the newest sample in the smoothed times of a service.
TIME_SMOOTHING = 0.1
#: Times of a service in seconds before any was measured: to the first event, and whole.
INITIAL_FIRST_EVENT_S = 0.2
INITIAL_DURATION_S = 2.0


#: Multiple of the usual duration that is left for a request that has waited, and the
#: longest wait as a fraction of the time until its deadline.
DURATION_MARGIN = 1.5
MAX_WAIT_RATIO = 1 / 3


class ServiceLoad(NamedTuple):
    """Load of a service's usable endpoints, as this instance knows it.

    Attributes
    ----------
    slots : float
        Requests that the endpoints run at once.
    reported : float
        Requests that run or wait there, as reported.
    own_reported : float
        Requests of this instance that the reports include.
    own : float
        Requests of this instance now, including those that are about to be sent.
    instances : int
        Instances that send requests to the service.
    """

    slots: float
    reported: float
    own_reported: float
    own: float
    instances: int


class PauseLimit:
    """Fraction of the slots that may be used for streams to stay in time.

    It decreases by a factor while the pauses between events are long, and otherwise
    increases by a step.
    """

    def __init__(self) -> None:
        self.fraction = 1.0
        self._pauses: list[float] = []
        self._changed_at: float | None = None

    def record(self, pause_s: float, now: float) -> None:
        """Record the pause between two events of a stream."""
        if self._changed_at is None:
            self._changed_at = now
        self._pauses.append(pause_s)

    def update(self, accepted_s: float, now: float) -> float:
        """Return the fraction, adapted to the pauses since its last change.

        Parameters
        ----------
        accepted_s : float
            Longest pause that callers accept.
        """
        if self._changed_at is None or now - self._changed_at < PAUSE_WINDOW_S:
            return self.fraction
        pauses, self._pauses = self._pauses, []
        self._changed_at = now
        if len(pauses) < MIN_EVENTS:
            pauses = [0.0]
        # All streams of a group share each pass; single ones also wait for their links.
        pause_s = statistics.median(pauses)
        if pause_s > accepted_s * PAUSE_HIGH:
            self.fraction = max(self.fraction * LIMIT_DECREASE, MIN_LIMIT)
        elif pause_s < accepted_s * PAUSE_LOW:
            self.fraction = min(self.fraction + LIMIT_INCREASE, 1.0)
        return self.fraction


class ArrivalRates:
    """Arrivals per second at this instance, by urgency (0 is the most urgent)."""

    def __init__(self) -> None:
        self._arrivals: dict[int, deque[float]] = {}

    def record(self, urgency: int, now: float) -> None:
        """Count the arrival of a request."""
        arrivals = self._arrivals.get(urgency)
        if arrivals is None:
            arrivals = self._arrivals[urgency] = deque(maxlen=_MAX_ARRIVALS)
        arrivals.append(now)

    def more_urgent(self, urgency: int, now: float) -> float:
        """Return the arrivals per second of requests that are more urgent."""
        return sum(
            self._rate(level, now) for level in self._arrivals if level < urgency
        )

    def _rate(self, level: int, now: float) -> float:
        arrivals = self._arrivals[level]
        while arrivals and arrivals[0] <= now - ARRIVALS_WINDOW_S:
            arrivals.popleft()
        return len(arrivals) / ARRIVALS_WINDOW_S


def claimable(load: ServiceLoad, limit: float, urgent_rate: float) -> float:
    """Return the number of requests that this instance may send now; below 1 for none.

    Parameters
    ----------
    limit : float
        Fraction of the slots that may be used.
    urgent_rate : float
        More urgent requests per second that arrive at this instance.
    """
    even = 1 / max(load.instances, 1)
    share = load.own_reported / load.reported if load.reported > 0 else even
    share = max(share, even * MIN_SHARE_RATIO)
    free = load.slots * limit - load.reported
    reserved = urgent_rate * REPORT_DELAY_S
    return free * share - reserved - (load.own - load.own_reported)


class ServiceTimes:
    """Smoothed times of a service's requests, in seconds."""

    def __init__(self) -> None:
        self.first_event_s = INITIAL_FIRST_EVENT_S
        self.duration_s = INITIAL_DURATION_S

    def record(self, first_event_s: float, duration_s: float) -> None:
        """Record the times from the admission of a request that was answered."""
        self.first_event_s += TIME_SMOOTHING * (first_event_s - self.first_event_s)
        self.duration_s += TIME_SMOOTHING * (duration_s - self.duration_s)


class Verdict(StrEnum):
    """What happens to a request that cannot be sent at once.

    - ``wait``: a slot is likely to be free in time.
    - ``reject``: it is not.
    """

    WAIT = "wait"
    REJECT = "reject"


def expected_wait_s(
    ahead: int, own: float, urgent_rate: float, times: ServiceTimes
) -> float:
    """Return the expected seconds until a request behind others is sent.

    Parameters
    ----------
    ahead : int
        Requests that wait at this instance and go before it.
    own : float
        Requests of this instance in progress, whose slots are reused.
    urgent_rate : float
        More urgent requests per second that arrive at this instance and get their slots
        first.
    """
    ends_per_s = max(own, 1.0) / times.duration_s
    free_per_s = max(ends_per_s - urgent_rate, MIN_FREE_PER_S)
    return (ahead + 1) / free_per_s


def latest_send_s(objective_s: float, left_s: float, times: ServiceTimes) -> float:
    """Return the seconds from now until which waiting is of use to the caller.

    A request that can still be answered within its objective waits for that. One that
    cannot, such as a retry, may wait as long as it can be answered whole.

    Parameters
    ----------
    objective_s : float
        Seconds from now until the latency objective; negative if it has passed.
    left_s : float
        Seconds until the caller's deadline.
    """
    in_time_s = objective_s - times.first_event_s
    if in_time_s > 0:
        return in_time_s
    whole_s = left_s - times.duration_s * DURATION_MARGIN
    return max(min(whole_s, left_s * MAX_WAIT_RATIO), 0.0)


def judge(wait_s: float, latest_s: float) -> Verdict:
    """Return whether a request waits for a slot, given the expected wait."""
    return Verdict.WAIT if wait_s <= latest_s else Verdict.REJECT
