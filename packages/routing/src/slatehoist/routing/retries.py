"""Retry budgets, and the delay after which a refused caller should retry.

A budget decides whether a failed attempt may be retried: retries are limited to a
fraction of the first attempts plus a fixed allowance, so that they cannot multiply
the load of a service that is failing. Retry delays are jittered so that refused
callers do not all retry at once.
"""

import random
from collections import deque
from typing import NamedTuple

#: Length in seconds of the window whose first attempts cap the unspent retries.
BUDGET_WINDOW_S = 10.0
#: Time in seconds in which a spent floor is refilled.
FLOOR_WINDOW_S = 60.0
#: Shortest and longest Retry-After before jitter, in seconds.
MIN_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 60.0
#: Largest jitter of a retry delay, as a fraction of the expected wait.
RETRY_JITTER = 0.5


class RetryBudget:
    """Budget that limits a member's retries to a fraction of its first attempts.

    Parameters
    ----------
    ratio : float
        Retries earned by each first attempt.
    floor : float
        Retries available even at low traffic, in case an endpoint is lost; refilled
        over `FLOOR_WINDOW_S` once spent.
    """

    def __init__(
        self, ratio: float, floor: float, window_s: float = BUDGET_WINDOW_S
    ) -> None:
        self.ratio = ratio
        self.floor = floor
        self._window_s = window_s
        self._balance = floor
        self._recent_attempts = 0.0
        self._updated_at: float | None = None

    def earn(self, now: float) -> None:
        """Count one first attempt."""
        elapsed_s = 0.0 if self._updated_at is None else now - self._updated_at
        self._updated_at = now
        self._recent_attempts = (
            self._recent_attempts * max(0.0, 1 - elapsed_s / self._window_s) + 1
        )
        cap = max(self.floor, self._recent_attempts * self.ratio)
        earned = self.ratio + elapsed_s / FLOOR_WINDOW_S * self.floor
        self._balance = min(self._balance + earned, cap)

    def spend(self) -> bool:
        """Take one retry from the budget; return False if there is none left."""
        if self._balance < 1:
            return False
        self._balance -= 1
        return True


def retry_after_s(wait_s: float, rng: random.Random) -> float:
    """Return the seconds after which a refused caller should retry, with jitter.

    Parameters
    ----------
    wait_s : float
        Expected seconds until the request could be accepted.
    """
    wait_s = min(max(wait_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)
    return wait_s * (1 + RETRY_JITTER * rng.random())


#: Shortest retry delay for a caller with a deadline, before jitter, in seconds.
MIN_RETRY_DELAY_S = 0.1
#: Longest retry delay as a fraction of the time until the deadline; the rest of that
#: time is left for the retry itself.
MAX_DELAY_RATIO = 1 / 3


def retry_delay_s(wait_s: float, left_s: float, rng: random.Random) -> float:
    """Return the retry delay in seconds for a caller with a deadline, with jitter.

    Parameters
    ----------
    wait_s : float
        Expected seconds until the request could be accepted.
    left_s : float
        Seconds until the caller's deadline.
    """
    delay_s = max(wait_s, MIN_RETRY_DELAY_S) * (1 + RETRY_JITTER * rng.random())
    return max(min(delay_s, left_s * MAX_DELAY_RATIO), 0.0)


#: Fraction of a shared allowance that all instances together use while none of them
#: restarts. The other half is reserved for restarts: two processes of one instance may
#: each use a fraction within one window.
STEADY_RATIO = 0.5


class Membership(NamedTuple):
    """Number of instances that share an allowance, as one instance knows it.

    Attributes
    ----------
    instances : int
        Instances counted, this one included.
    joined_at : float
        Time from which the other instances could count this one. A restarted process
        keeps the time at which its instance joined.
    previous_start : float
        Start time of this instance's previous process; minus infinity if there was
        none.
    names : tuple of str
        Names of the instances counted.
    """

    instances: int
    joined_at: float
    previous_start: float
    names: tuple[str, ...] = ()


class AllowanceShare:
    """Fraction of a shared allowance that this instance may use.

    The fractions of all instances must not add up to more than 1 in any window, however
    many there are, even though a restarted process does not know what its predecessor
    used, and the other instances count a new instance only after a delay. So an
    instance has a fraction only while all others can have counted it:

    - Before its first count, which needs the store, and for `count_s` after it joined,
      an instance has none. Any number of instances may join at once.
    - A process that is restarted uses the fraction of its instance at once, and the
      predecessor may have used the same one: `STEADY_RATIO` leaves room for two. A
      third process within one window has none.
    - An instance that can no longer count keeps its fraction. New instances use
      fractions of a larger number meanwhile, for which `STEADY_RATIO` leaves room, too.

    Without a fraction, an instance still retries in proportion to its first attempts.

    Parameters
    ----------
    window_s : float
        Length in seconds of the sliding window to which the allowance applies.
    count_s : float
        Longest time in seconds until all instances have counted a new one.
    """

    def __init__(self, window_s: float, count_s: float) -> None:
        self._window_s = window_s
        self._count_s = count_s
        self._membership: Membership | None = None
        self._recorded_at = float("-inf")

    def record_membership(self, membership: Membership, now: float) -> None:
        """Record the membership that is known at a time."""
        self._membership = membership
        self._recorded_at = now

    def fraction(self, now: float) -> float:
        """Return the fraction of the allowance, from 0 to 1."""
        known = self._membership
        if known is None:
            return 0.0
        # A count made just after joining lacks instances that joined together with it.
        if self._recorded_at - known.joined_at < self._count_s / 2:
            return 0.0
        counted_at = known.joined_at + self._count_s
        window_clear_at = known.previous_start + self._window_s
        if now < max(counted_at, window_clear_at):
            return 0.0
        return STEADY_RATIO / known.instances


class RetryUse(NamedTuple):
    """Retries of an instance that are in the window, and its limit for them."""

    retries: int
    limit: float


class RetryReservation:
    """Retry that a budget has allowed, until it has arrived at an endpoint.

    Attributes
    ----------
    made_at : float
        Time at which the budget allowed it.
    use : RetryUse
        Use of the budget at that time, this retry included.
    """

    def __init__(
        self, budget: "SharedRetryBudget", made_at: float, use: RetryUse
    ) -> None:
        self._budget = budget
        self._is_open = True
        self.made_at = made_at
        self.use = use

    def record_arrival(self, now: float) -> None:
        """Record that the retry has arrived by now; only the first call counts."""
        if self._is_open:
            self._is_open = False
            self._budget.end_reservation(now)

    def cancel(self) -> None:
        """Give the retry back if it has not arrived, since it is not sent."""
        if self._is_open:
            self._is_open = False
            self._budget.end_reservation(None)


class SharedRetryBudget:
    """Budget that limits the retries of all instances to a service in any window.

    Each instance limits itself to a ratio of its own first attempts plus its fraction
    of the allowance; see `AllowanceShare`. Over all instances, these limits add up
    to at most the limit of the service.

    The limit holds for the times at which retries arrive, which are not known exactly:
    between the decision and the arrival, a retry waits for an endpoint, a connection or
    a link. It therefore counts from the decision until `window_s` after it has
    certainly arrived.

    Parameters
    ----------
    ratio : float
        Retries allowed for each first attempt within the window.
    allowance : float
        Retries allowed beyond that, by all instances together.
    window_s : float
        Length of the sliding window in seconds.

    Attributes
    ----------
    reserved : int
        Retries that were decided and have not arrived yet, as far as is known.
    """

    def __init__(self, ratio: float, allowance: float, window_s: float) -> None:
        self._ratio = ratio
        self._allowance = allowance
        self._window_s = window_s
        self._first_attempts: deque[float] = deque()
        self.reserved = 0
        #: Times by which the other retries had arrived.
        self._arrivals: deque[float] = deque()

    def record_first_attempt(self, now: float) -> None:
        """Count the first attempt of a request."""
        self._first_attempts.append(now)

    def reserve(self, now: float, fraction: float) -> RetryReservation | None:
        """Allow one retry; return None if the window has no room for it.

        Parameters
        ----------
        fraction : float
            Fraction of the allowance that this instance may use.
        """
        if not self.has_room(now, fraction):
            return None
        self.reserved += 1
        return RetryReservation(self, now, self._use(now, fraction))

    def has_room(self, now: float, fraction: float) -> bool:
        """Return True if `reserve` would allow a retry."""
        retries, limit = self._use(now, fraction)
        return retries + 1 <= limit

    def end_reservation(self, arrived_at: float | None) -> None:
        """End a reservation, whose retry has arrived unless the time is None."""
        self.reserved -= 1
        if arrived_at is not None:
            self._arrivals.append(arrived_at)

    def _use(self, now: float, fraction: float) -> RetryUse:
        for times in (self._first_attempts, self._arrivals):
            while times and now - times[0] > self._window_s:
                times.popleft()
        limit = len(self._first_attempts) * self._ratio + self._allowance * fraction
        return RetryUse(len(self._arrivals) + self.reserved, limit)
