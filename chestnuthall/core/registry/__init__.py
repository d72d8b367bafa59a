"""Replicas as they register themselves, and what becomes of each."""

from chestnuthall.core.registry._register import (
    Change,
    ChangeKind,
    Registration,
    ReplicaRegister,
)

__all__ = ["Change", "ChangeKind", "Registration", "ReplicaRegister"]
