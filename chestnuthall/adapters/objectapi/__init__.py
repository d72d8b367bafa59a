"""HTTP client of the platform's object API."""

from chestnuthall.adapters.objectapi._client import HttpObjectStore
from chestnuthall.adapters.objectapi._dialect import (
    ListPage,
    ObjectDialect,
    VersionedDialect,
    failure_from_status,
)
from chestnuthall.adapters.objectapi._lenient_json import parse_leniently

__all__ = [
    "HttpObjectStore",
    "ListPage",
    "ObjectDialect",
    "VersionedDialect",
    "failure_from_status",
    "parse_leniently",
]
