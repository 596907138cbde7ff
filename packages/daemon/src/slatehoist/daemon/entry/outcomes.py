"""Outcomes of a request's attempts, and the errors returned to its caller."""

import random

from slatehoist.daemon.entry.answers import CallerError, Ran
from slatehoist.daemon.entry.attempts import Outcome
from slatehoist.daemon.entry.directory import PeerInstance
from slatehoist.routing import retry_after_s
from slatehoist.wire.messages import Broken, BrokenReason, NotRun, NotRunReason

#: Number of first attempts that a busy endpoint may refuse instead of queueing.
FAIL_FAST_ATTEMPTS = 2
#: Refusals that cost the endpoint nothing; a retry is not charged to the budget.
FREE_REFUSALS = frozenset(
    {
        NotRunReason.DRAINING,
        NotRunReason.WRONG_INCARNATION,
        NotRunReason.TOMBSTONE,
        NotRunReason.ENDPOINT_DOWN,
        NotRunReason.SIDECAR_DOWN,
        NotRunReason.SUSPECT_BUSY,
        NotRunReason.BUSY,
    }
)

_HTTP_UNAVAILABLE = 503
_HTTP_TOO_MANY = 429
_HTTP_BAD_GATEWAY = 502
_HTTP_GATEWAY_TIMEOUT = 504


class AttemptHistory:
    """Attempts of one request so far and their outcomes.

    Attributes
    ----------
    count : int
        Number of attempts.
    tried : set of str
        Sidecars that the next attempt avoids.
    busy, suspect_busy : set of str
        Sidecars that refused with the reason ``BUSY`` or ``SUSPECT_BUSY``.
    has_free_slots : bool
        True if the sidecars seemed to have free slots when one was last chosen.
    may_have_run : bool
        True if any attempt may have run.
    silent : int
        Number of endpoints that fell silent while they ran the request.
    outcome : Outcome or None
        Outcome of the last attempt.
    """

    def __init__(self) -> None:
        self.count = 0
        self.tried: set[str] = set()
        self.busy: set[str] = set()
        self.suspect_busy: set[str] = set()
        self.has_free_slots = False
        self.may_have_run = False
        self.silent = 0
        self.outcome: Outcome | None = None

    @property
    def may_fail_fast(self) -> bool:
        """Return True if the next attempt should be refused rather than queued."""
        return self.has_free_slots and self.count < FAIL_FAST_ATTEMPTS

    def record(self, peer: PeerInstance, outcome: Outcome, now: float) -> None:
        """Record the outcome of one attempt."""
        name = peer.instance.name
        self.count += 1
        self.tried.add(name)
        self.outcome = outcome
        if not isinstance(outcome, NotRun):
            self.may_have_run = True
            if getattr(outcome, "reason", "") == BrokenReason.ENDPOINT_SILENT:
                self.silent += 1
        elif outcome.reason == NotRunReason.BUSY:
            self.busy.add(name)
            peer.observe_load(outcome.load, now)
        elif outcome.reason == NotRunReason.SUSPECT_BUSY:
            self.suspect_busy.add(name)
        if self.count == FAIL_FAST_ATTEMPTS:
            # Further attempts may be queued, so busy sidecars are tried again.
            self.tried -= self.busy

    def correct_ran(self, error: CallerError) -> CallerError:
        """Return the error, corrected for the earlier attempts of the request.

        It must not say that the request did not run if an earlier attempt may have.
        """
        if self.may_have_run and error.ran == Ran.NO:
            return error._replace(ran=Ran.UNKNOWN)
        return error


def no_endpoint_error(rng: random.Random) -> CallerError:
    """Return the error for a request that no endpoint can take."""
    return CallerError(
        _HTTP_UNAVAILABLE,
        "no_endpoint",
        "no endpoint can take the request now",
        Ran.NO,
        retry_after_s(1.0, rng),
    )


def error_from_outcome(outcome: Outcome, rng: random.Random) -> CallerError:
    """Return the caller's error for an outcome."""
    if isinstance(outcome, NotRun):
        return _not_run_error(outcome, rng)
    if isinstance(outcome, Broken) and outcome.reason == BrokenReason.DEADLINE:
        return CallerError(
            _HTTP_GATEWAY_TIMEOUT,
            "deadline",
            "the request exceeded its deadline",
            Ran.YES,
            None,
        )
    return CallerError(
        _HTTP_BAD_GATEWAY,
        "outcome_unknown",
        "the request may have run; do not repeat it unless it is idempotent",
        Ran.UNKNOWN,
        None,
    )


def _not_run_error(outcome: NotRun, rng: random.Random) -> CallerError:
    overload = outcome.reason == NotRunReason.OVER_SHARE
    return CallerError(
        _HTTP_TOO_MANY if overload else _HTTP_UNAVAILABLE,
        outcome.reason,
        "the request did not run",
        Ran.NO,
        retry_after_s(outcome.retry_after_s, rng),
    )


def is_unreachable(outcome: Outcome) -> bool:
    """Return True if the sidecar is down or runs as another incarnation."""
    return isinstance(outcome, NotRun) and outcome.reason in (
        NotRunReason.WRONG_INCARNATION,
        NotRunReason.SIDECAR_DOWN,
    )
