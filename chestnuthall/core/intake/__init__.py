"""What clients may make an instance hold: memory, connections and running requests."""

from chestnuthall.core.intake._ledger import (
    ConnectionState,
    MemoryLedger,
    connection_to_replace,
)
from chestnuthall.core.intake._plan import (
    N_CONNECTIONS_MAX,
    IntakePlan,
    plan_intake,
)
from chestnuthall.core.intake._slots import RequestSlots

__all__ = [
    "ConnectionState",
    "IntakePlan",
    "MemoryLedger",
    "N_CONNECTIONS_MAX",
    "RequestSlots",
    "connection_to_replace",
    "plan_intake",
]
