"""Replicas that register themselves, and changes of their registrations."""

from chestnuthall.core.registry._registry import (
    Registration,
    ReplicaChange,
    ReplicaChangeKind,
    ReplicaRegistry,
)

__all__ = ["ReplicaChange", "ReplicaChangeKind", "Registration", "ReplicaRegistry"]
