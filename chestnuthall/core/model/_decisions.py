"""Log records of the decisions made for one request."""

from dataclasses import dataclass
from enum import Enum


class DecisionEvent(Enum):
    """Text of a decision in the log, with the names of its fields."""

    ADMITTED = "request admitted", ("rule", "queued_ms", "n_ahead")
    CALL_SENT = (
        "call sent",
        (
            "shard_id",
            "replica",
            "incarnation",
            "zone",
            "attempt",
            "reason",
            "time_left_ms",
            "n_in_flight",
            "replica_latency_ms",
            "latency_age_ms",
        ),
    )
    CALL_ANSWERED = "call answered", ("shard_id", "replica", "elapsed_ms", "status")
    CALL_FAILED = "call failed", ("shard_id", "replica", "elapsed_ms", "result", "why")
    CALL_CANCELLED = "call cancelled", ("shard_id", "replica", "elapsed_ms")
    HEDGE_WITHHELD = "hedge withheld", ("shard_id", "why", "oldest_call_ms")
    SHARD_GIVEN_UP = "shard given up", ("shard_id", "n_attempts", "why")
    SETTLED = "request settled", ("why", "coverage_ratio", "map_version")

    def __init__(self, text: str, field_names: tuple[str, ...]) -> None:
        self.text = text
        self.field_names = field_names


@dataclass(frozen=True, slots=True)
class Decision:
    """One decision; ``values`` are in the order of ``event.field_names``."""

    at_ms: float
    event: DecisionEvent
    values: tuple[object, ...]

    def fields(self) -> dict[str, object]:
        """Return the values by field name, with floats rounded to one decimal."""
        return {
            name: round(value, 1) if isinstance(value, float) else value
            for name, value in zip(self.event.field_names, self.values, strict=True)
        }
