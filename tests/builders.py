"""Builders of test data that the tests of several packages share."""

from slatehoist.coord import RankState
from slatehoist.routing import Candidate, Ticket
from slatehoist.storage import Instance
from slatehoist.wire.messages import AttemptRequest, Heartbeat, MapReply


def make_attempt(attempt_id: str = "a1", **fields) -> AttemptRequest:
    """Build an attempt request with defaults for the fields that are not given."""
    values = {
        "attempt_id": attempt_id,
        "endpoint": "e",
        "incarnation": "i",
        "member": "andina",
        "team": "router",
        "model": "m",
        "method": "POST",
        "path": "/v1/completions",
        "body": b"{}",
        "headers": {},
        "priority": 5,
        "deadline_s": 60.0,
        "cost": 10.0,
        "digest": "d",
    }
    return AttemptRequest(**{**values, **fields})


def make_ticket(member: str = "andina", **fields) -> Ticket:
    """Build a ticket for the fair queue."""
    values = {"team": "t", "cost": 10.0, "priority": 5, "deadline": 1e9}
    return Ticket(member, **{**values, **fields})


def make_candidate(name: str, zone: str = "a", **fields) -> Candidate:
    """Build an endpoint that a request could be sent to."""
    return Candidate(name, zone, **fields)


def make_heartbeat(instance: str = "n", **fields) -> Heartbeat:
    """Build a heartbeat with defaults for the fields that are not given."""
    values = {
        "incarnation": "i",
        "draining": False,
        "load": 0.0,
        "step_s": 0.0,
        "revision": 1,
    }
    return Heartbeat(instance, **{**values, **fields})


def make_instance(name: str, role: str = "sidecar", zone: str = "a") -> Instance:
    """Build an instance as the platform's list contains it."""
    return Instance(name, role, zone, "127.0.0.1:1", "127.0.0.1:2", "live")


def make_map_reply(rank: int, **fields) -> MapReply:
    """Build a rank's reply to a map order."""
    values = {
        "done": True,
        "reason": "",
        "fence": 1,
        "incarnation": "i",
        "epoch": 1,
        "loaded": [1],
        "hold_step": 0,
        "next_step": 1,
        "switch_epoch": 1,
        "switch_step": 0,
    }
    return MapReply(rank=rank, **{**values, **fields})


class FakeRank:
    """In-memory engine of a rank, with plain attributes that tests can save and set."""

    def __init__(self) -> None:
        self.epoch = 1
        self.next_step = 1
        self.hold_step = 0
        self.switch_epoch = 1
        self.switch_step = 0
        self.loaded = [1]

    async def state(self) -> RankState:
        """Return the rank's state."""
        return RankState(
            self.epoch,
            self.next_step,
            self.hold_step,
            self.switch_epoch,
            self.switch_step,
            list(self.loaded),
        )

    async def load(self, epoch: int, placement: bytes, fence: int) -> None:
        """Add an epoch to the loaded ones."""
        self.loaded = sorted({*self.loaded, epoch})

    async def hold(self, step: int, fence: int) -> bool:
        """Hold the rank before a step; return False if that step has begun already."""
        if self.next_step > step:
            return False
        self.hold_step = step
        return True

    async def switch(self, epoch: int, step: int, fence: int) -> None:
        """Use another epoch from a step on, and release a hold before that step."""
        self.switch_epoch, self.switch_step = epoch, step
        if self.hold_step == step:
            self.hold_step = 0

    async def release(self, step: int, fence: int) -> None:
        """Release the hold if it is before this step."""
        if self.hold_step == step:
            self.hold_step = 0

    async def drop(self, epoch: int, fence: int) -> None:
        """Remove an epoch from the loaded ones."""
        self.loaded = [other for other in self.loaded if other != epoch]

    def may_begin_step(self) -> bool:
        """Return True unless the rank is held before its next step."""
        return self.next_step != self.hold_step

    def begin_step(self) -> int:
        """Begin the next step and return the epoch that it uses."""
        if self.switch_step and self.next_step >= self.switch_step:
            self.epoch = self.switch_epoch
        self.next_step += 1
        return self.epoch
