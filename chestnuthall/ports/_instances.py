"""Entries of the platform's list of instances."""

from dataclasses import dataclass
from enum import Enum


class InstanceRole(Enum):
    """Role of an instance in the platform's list."""

    ENTRY = "entry"
    UPSTREAM = "upstream"


@dataclass(frozen=True, slots=True)
class InstanceListEntry:
    """One instance in the platform's list, which may be out of date.

    The name of an upstream is the name of its replica. ``peer_address`` is
    empty for an upstream.
    """

    name: str
    role: InstanceRole
    zone: str
    address: str
    peer_address: str
    is_leaving: bool
