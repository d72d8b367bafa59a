"""Replicas as they register themselves, and what becomes of each."""

from chestnuthall.core.registry._registry import (
    Registration,
    ReplicaChange,
    ReplicaChangeKind,
    ReplicaRegistry,
)

__all__ = ["ReplicaChange", "ReplicaChangeKind", "Registration", "ReplicaRegistry"]
