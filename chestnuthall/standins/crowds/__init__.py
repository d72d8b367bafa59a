"""Clients that break the rules of the protocol, in crowds."""

from chestnuthall.standins.crowds._crowd import MB, Crowd, ProcessWatch
from chestnuthall.standins.crowds._members import (
    N_BODY_BYTES_MAX,
    N_HEADER_BYTES_MAX,
    USUAL_HEADERS,
    Sending,
    ahead,
    once,
    silent,
    unfinished_body,
    unfinished_chunks,
    unfinished_head,
)

__all__ = [
    "MB",
    "N_BODY_BYTES_MAX",
    "N_HEADER_BYTES_MAX",
    "Crowd",
    "ProcessWatch",
    "Sending",
    "USUAL_HEADERS",
    "ahead",
    "once",
    "silent",
    "unfinished_body",
    "unfinished_chunks",
    "unfinished_head",
]
