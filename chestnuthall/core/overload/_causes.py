"""Waiting times that follow from the cause of a rejection."""

from dataclasses import dataclass
from functools import singledispatch

# Time in which a process that has started receives its configuration and directory.
START_MS = 200.0
# A caller of an instance that is leaving reaches another one through the balancer.
OTHER_INSTANCE_MS = 50.0
# Bounds of the wait for replicas and for the store. Outages last seconds to minutes,
# so one is expected to last about as long again as it has lasted.
OUTAGE_WAIT_MIN_MS = 500.0
OUTAGE_WAIT_MAX_MS = 5_000.0


@dataclass(frozen=True, slots=True)
class Starting:
    """The instance does not know its configuration or directory yet."""


@dataclass(frozen=True, slots=True)
class Leaving:
    """The instance is about to stop."""


@dataclass(frozen=True, slots=True)
class MemoryFull:
    """The memory for requests is used up by those that run.

    A caller reaches another instance when it returns, as from one that is leaving.
    """


@dataclass(frozen=True, slots=True)
class ReplicasUnavailable:
    """Too few shards have had a replica that can be called for ``outage_ms``."""

    outage_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class ReplicasFull:
    """The replicas refused the calls because their queues are full.

    ``call_ms`` is the usual duration of a call.
    """

    call_ms: float


@dataclass(frozen=True, slots=True)
class StoreUnavailable:
    """The store has not answered for ``outage_ms``."""

    outage_ms: float = 0.0


@singledispatch
def recovery_ms(cause: object) -> float:
    """Return when a request rejected for a cause is expected to be servable.

    Answers a restart under load, a shard that becomes unavailable, and the burst of
    requests after an outage.

    Examples
    --------
    >>> recovery_ms(Starting()), recovery_ms(StoreUnavailable(outage_ms=2_000.0))
    (200.0, 2000.0)
    """
    raise TypeError(f"not a cause of a rejection: {type(cause).__name__}")


@recovery_ms.register
def _(cause: Starting) -> float:
    return START_MS


@recovery_ms.register
def _(cause: Leaving) -> float:
    return OTHER_INSTANCE_MS


@recovery_ms.register
def _(cause: MemoryFull) -> float:
    return OTHER_INSTANCE_MS


@recovery_ms.register
def _(cause: ReplicasUnavailable) -> float:
    return _outage_wait_ms(cause.outage_ms)


@recovery_ms.register
def _(cause: ReplicasFull) -> float:
    return cause.call_ms


@recovery_ms.register
def _(cause: StoreUnavailable) -> float:
    return _outage_wait_ms(cause.outage_ms)


def _outage_wait_ms(outage_ms: float) -> float:
    return min(OUTAGE_WAIT_MAX_MS, max(OUTAGE_WAIT_MIN_MS, outage_ms))
