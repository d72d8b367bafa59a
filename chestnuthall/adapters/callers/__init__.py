"""HTTP interface for callers and operators."""

from chestnuthall.adapters.callers._admin import AdminRoutes
from chestnuthall.adapters.callers._encode import encode_account, encode_outcome
from chestnuthall.adapters.callers._frontend import (
    CallerFrontend,
    encode_http_error,
)
from chestnuthall.adapters.callers._models import read_request

__all__ = [
    "AdminRoutes",
    "CallerFrontend",
    "encode_account",
    "encode_outcome",
    "read_request",
    "encode_http_error",
]
