"""Lifecycle of a daemon process."""

from transitions import Machine


class Lifecycle:
    """Follow a process from its start to its stop.

    ``ready`` takes new work; ``unsure`` has heard neither the table nor a peer for
    too long and takes none; ``draining`` finishes what it has.
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
        """Tell whether new work is taken."""
        return self.state == "ready"
