"""Retry budgets and the time at which a refused caller should come back."""

import random
from collections import deque
from typing import NamedTuple

#: Seconds over which first tries earn retries.
BUDGET_WINDOW_S = 10.0
#: Seconds over which retries in hand come back.
FLOOR_WINDOW_S = 60.0
#: Shortest and longest time to come back that is ever told, in seconds.
MIN_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 60.0
#: Width of the spread of return times, as a part of the wait.
RETURN_SPREAD = 0.5


class RetryBudget:
    """Let retries be at most a fraction of first tries, per member.

    Parameters
    ----------
    ratio : float
        Retries earned by each first try.
    floor : float
        Retries in hand for the sudden loss of an endpoint, however few the requests
        are; used up, they come back over a minute.
    """

    def __init__(
        self, ratio: float, floor: float, window_s: float = BUDGET_WINDOW_S
    ) -> None:
        self.ratio = ratio
        self.floor = floor
        self._window_s = window_s
        self._balance = floor
        self._rate = 0.0
        self._at: float | None = None

    def earn(self, now: float) -> None:
        """Count one first try."""
        passed_s = 0.0 if self._at is None else now - self._at
        self._at = now
        self._rate = self._rate * max(0.0, 1 - passed_s / self._window_s) + 1
        cap = max(self.floor, self._rate * self.ratio)
        earned = self.ratio + passed_s / FLOOR_WINDOW_S * self.floor
        self._balance = min(self._balance + earned, cap)

    def spend(self) -> bool:
        """Take one retry, if there is one."""
        if self._balance < 1:
            return False
        self._balance -= 1
        return True


def retry_after_s(wait_s: float, rng: random.Random) -> float:
    """Spread the return of refused callers over a stretch after an expected wait.

    Parameters
    ----------
    wait_s : float
        Expected seconds until there is room.
    """
    wait_s = min(max(wait_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)
    return wait_s * (1 + RETURN_SPREAD * rng.random())


#: Shortest time to come back that a caller with a deadline is told, in seconds.
MIN_RETURN_S = 0.1
#: Part of the time left within which a caller can still come back and be served.
RETURN_RATIO = 1 / 3


def retry_delay_s(wait_s: float, left_s: float, rng: random.Random) -> float:
    """Spread the return of refused callers, within what their deadlines leave.

    Parameters
    ----------
    wait_s : float
        Expected seconds until there is room.
    left_s : float
        Seconds until the caller's deadline.
    """
    delay_s = max(wait_s, MIN_RETURN_S) * (1 + RETURN_SPREAD * rng.random())
    return max(min(delay_s, left_s * RETURN_RATIO), 0.0)


#: Part of a shared allowance that all instances together use while none starts again.
#: The other half is for the second process of an instance within one window.
STEADY_RATIO = 0.5
#: Instances that are assumed to share an allowance while an instance cannot know them.
#: Deployments known have up to 18.
ASSUMED_INSTANCES = 18


class Membership(NamedTuple):
    """What an instance knows of those that share with it.

    Attributes
    ----------
    instances : int
        Instances counted, this one included.
    joined_at : float
        When this one could first be counted, in an earlier process maybe.
    previous_start : float
        When its previous process started; minus infinity if there was none.
    """

    instances: int
    joined_at: float
    previous_start: float


class AllowanceShare:
    """Part of a shared allowance that this instance may use.

    The parts must not add up to more than the whole in any window, though processes
    that start again forget what they used, and others count a new instance late.

    Parameters
    ----------
    window_s : float
        Length of the window in which the allowance counts, in seconds.
    count_s : float
        Longest time in seconds until all instances have counted a new one.
    """

    def __init__(self, window_s: float, count_s: float) -> None:
        self._window_s = window_s
        self._count_s = count_s
        self._membership: Membership | None = None
        self._recorded_at = float("-inf")

    def record_membership(self, membership: Membership, now: float) -> None:
        """Take in who shares."""
        self._membership = membership
        self._recorded_at = now

    def fraction(self, now: float) -> float:
        """Give the part of the allowance, from 0 to 1."""
        known = self._membership
        if known is None or now - self._recorded_at > self._count_s:
            return STEADY_RATIO / ASSUMED_INSTANCES
        counted_at = known.joined_at + self._count_s
        # Before that a third process could use a part within one window.
        alone_at = known.previous_start + self._window_s
        if now < max(counted_at, alone_at):
            return STEADY_RATIO / ASSUMED_INSTANCES
        return STEADY_RATIO / known.instances


class SharedRetryBudget:
    """Bound the repeats that all instances send to a service in any window.

    Each instance keeps to its own part: a ratio of its own first sends, which add up
    over the instances, and its part of the allowance; see `AllowanceShare`.

    Parameters
    ----------
    ratio : float
        Repeats allowed for each first send within the window.
    allowance : float
        Repeats allowed beyond that, by all instances together.
    window_s : float
        Length of the sliding window in seconds.
    """

    def __init__(self, ratio: float, allowance: float, window_s: float) -> None:
        self._ratio = ratio
        self._allowance = allowance
        self._window_s = window_s
        self._first: deque[float] = deque()
        self._repeats: deque[float] = deque()

    def record_first_attempt(self, now: float) -> None:
        """Count the first send of a request."""
        self._first.append(now)

    def spend(self, now: float, fraction: float) -> bool:
        """Take one repeat, if the window has room for it.

        Parameters
        ----------
        fraction : float
            Part of the allowance that may be used here.
        """
        for times in (self._first, self._repeats):
            while times and now - times[0] > self._window_s:
                times.popleft()
        limit = len(self._first) * self._ratio + self._allowance * fraction
        if len(self._repeats) + 1 > limit:
            return False
        self._repeats.append(now)
        return True
