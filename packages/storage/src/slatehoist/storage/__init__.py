"""Interfaces to the platform's services, with HTTP and in-memory implementations."""

from slatehoist.storage.base import (
    ABSENT,
    Check,
    Feed,
    Instance,
    InstanceList,
    ObjectStore,
    Row,
    Table,
    WatchableTable,
    WeightStore,
    Write,
)
from slatehoist.storage.exceptions import (
    ConflictError,
    HistoryLostError,
    OutcomeUnknownError,
    PlatformError,
    StoreDownError,
)
from slatehoist.storage.http import (
    ERA_HEADER,
    HttpInstanceList,
    HttpObjectStore,
    HttpTable,
    HttpWeightStore,
)
from slatehoist.storage.memory import MemoryInstanceList, MemoryTable

__all__ = [
    "ABSENT",
    "ERA_HEADER",
    "Check",
    "ConflictError",
    "Feed",
    "HistoryLostError",
    "HttpInstanceList",
    "HttpObjectStore",
    "HttpTable",
    "HttpWeightStore",
    "Instance",
    "InstanceList",
    "MemoryInstanceList",
    "MemoryTable",
    "ObjectStore",
    "OutcomeUnknownError",
    "PlatformError",
    "Row",
    "StoreDownError",
    "Table",
    "WatchableTable",
    "WeightStore",
    "Write",
]
