"""Replicas that register themselves, and changes of their registrations."""

from chestnuthall.core.registry._register import (
    Change,
    ChangeKind,
    Registration,
    ReplicaRegister,
)

__all__ = ["Change", "ChangeKind", "Registration", "ReplicaRegister"]
