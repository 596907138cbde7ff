"""Lifecycle of a daemon process."""

from transitions import Machine


class Lifecycle:
    """State machine of a daemon process.

    ``ready`` accepts new work. ``unsure`` has reached neither the platform's table nor
    a peer for too long, and accepts none. ``draining`` finishes the work it has.
    """

    STATES = ["starting", "ready", "unsure", "draining", "stopped"]

    def __init__(self) -> None:
        self._machine = Machine(
            model=self, states=self.STATES, initial="starting", auto_transitions=False
        )
        add = self._machine.add_transition
        add("become_ready", ["starting", "unsure", "ready"], "ready")
        add("become_unsure", ["ready", "unsure"], "unsure")
        add("become_unsure", "starting", "starting")
        add("become_ready", "draining", "draining")
        add("become_unsure", "draining", "draining")
        add("drain", ["starting", "ready", "unsure", "draining"], "draining")
        add("stop", "*", "stopped")

    @property
    def takes_work(self) -> bool:
        """Return True if new work is accepted."""
        return self.state == "ready"
