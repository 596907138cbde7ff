"""The platform's services: protocols, HTTP backends and in-memory backends."""

from slatehoist.platform.base import (
    ABSENT,
    Check,
    Instance,
    InstanceList,
    ObjectStore,
    Row,
    Table,
    WeightStore,
    Write,
)
from slatehoist.platform.exceptions import (
    ConflictError,
    OutcomeUnknownError,
    PlatformError,
    StoreDownError,
)
from slatehoist.platform.http import (
    HttpInstanceList,
    HttpObjectStore,
    HttpTable,
    HttpWeightStore,
)
from slatehoist.platform.memory import MemoryInstanceList, MemoryTable

__all__ = [
    "ABSENT",
    "Check",
    "ConflictError",
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
    "WeightStore",
    "Write",
]
