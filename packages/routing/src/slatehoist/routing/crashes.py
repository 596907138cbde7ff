"""Count of the endpoints that crashed while they ran a request."""

from collections import OrderedDict

#: Crashes after which a request is not sent any more. Two may be chance where several
#: endpoints crash at once; a third one costs another endpoint.
MAX_CRASHES = 3
#: Seconds for which crashes and successes are remembered: callers return within some
#: seconds, and what made a request fatal may be mended after a minute.
RETENTION_S = 60.0


class CrashTally:
    """Tell requests that crash endpoints from those that were merely there.

    A request that succeeded lately is not to blame, however often an endpoint crashed
    while running it.
    """

    def __init__(self) -> None:
        self._crashes: dict[str, dict[str, float]] = {}
        self._successes: OrderedDict[str, float] = OrderedDict()

    def record_crash(self, digest: str, crash_id: str, now: float) -> int:
        """Count a crash once, whoever reports it; return the request's crashes."""
        crashes = self._crashes.setdefault(digest, {})
        crashes.setdefault(crash_id, now)
        return len(crashes)

    def record_success(self, digest: str, now: float) -> None:
        """Clear a request."""
        self._crashes.pop(digest, None)
        self._successes[digest] = now
        self._successes.move_to_end(digest)
        while now - next(iter(self._successes.values())) >= RETENTION_S:
            self._successes.popitem(last=False)

    def is_blocked(self, digest: str, now: float) -> bool:
        """Tell whether a request has crashed too many endpoints."""
        crashes = self._crashes.get(digest)
        if crashes is None:
            return False
        recent = {name: at for name, at in crashes.items() if now - at < RETENTION_S}
        if not recent:
            del self._crashes[digest]
            return False
        self._crashes[digest] = recent
        return len(recent) >= MAX_CRASHES and not self._succeeded(digest, now)

    def _succeeded(self, digest: str, now: float) -> bool:
        at = self._successes.get(digest)
        return at is not None and now - at < RETENTION_S
