"""Log lines for the stages from the start of a process until it serves."""

import logging

log = logging.getLogger(__name__)


class StartStages:
    """Log each stage once, when it is reached for the first time.

    Parameters
    ----------
    now : float
        Time at which the process starts, in seconds.
    """

    def __init__(self, now: float) -> None:
        self._began_at = now
        self._reached: set[str] = set()
        log.info("starting")

    def is_reached(self, stage: str) -> bool:
        """Return True if a stage was reached."""
        return stage in self._reached

    def reach(self, stage: str, now: float, **fields: object) -> None:
        """Log a stage with its time since the start, unless it was reached before."""
        if stage in self._reached:
            return
        self._reached.add(stage)
        after_ms = round((now - self._began_at) * 1000)
        log.info("start_stage", extra={"stage": stage, "after_ms": after_ms, **fields})
