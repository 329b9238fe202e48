"""Clients of the platform's table, object store and instance list."""

from .http import HttpClient
from .instance_list import HttpInstanceList
from .interfaces import (
    Absent,
    Conflict,
    InstanceList,
    InstanceState,
    ListedInstance,
    ObjectStore,
    OutcomeUnknown,
    Row,
    Table,
    Unavailable,
    Written,
)
from .object_store import HttpObjectStore
from .table import HttpTable

__all__ = [
    "Absent",
    "Conflict",
    "HttpClient",
    "HttpInstanceList",
    "HttpObjectStore",
    "HttpTable",
    "InstanceList",
    "InstanceState",
    "ListedInstance",
    "ObjectStore",
    "OutcomeUnknown",
    "Row",
    "Table",
    "Unavailable",
    "Written",
]
