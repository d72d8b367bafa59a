"""Progress of one shard and of its calls."""

from dataclasses import dataclass, field
from enum import Enum

from chestnuthall.core.model import Shard, ShardAnswer, ShardCall


class ProbeStep(Enum):
    """How far the probe of a suspected request has come."""

    NONE = "none"
    NOTIFYING_PEERS = "warning"
    RUNNING = "running"


@dataclass(slots=True)
class RunningCall:
    """A call that has neither answered nor failed.

    ``is_probe`` marks a call whose outcome is the verdict on the request.
    """

    call: ShardCall
    started_ms: float
    is_probe: bool = False


@dataclass(slots=True)
class ShardProgress:
    """What is known about one shard of the plan.

    ``retry_at_ms`` is set while the shard waits for its next attempt;
    ``is_given_up`` means that no further attempt will be made, and ``is_held``
    that the shard waits for the verdict on a suspected request. ``has_lost``
    means that a replica of the shard was lost while it ran the request.
    ``tried_names`` are passed over by the next attempt; ``sent_names`` are all
    replicas to which something was written.
    """

    shard: Shard
    running: dict[str, RunningCall] = field(default_factory=dict)
    tried_names: set[str] = field(default_factory=set)
    sent_names: set[str] = field(default_factory=set)
    answer: ShardAnswer | None = None
    n_attempts: int = 0
    is_hedged: bool = False
    is_hedge_withheld: bool = False
    is_given_up: bool = False
    is_held: bool = False
    has_lost: bool = False
    hedge_not_before_ms: float = float("-inf")
    retry_at_ms: float | None = None

    @property
    def is_settled(self) -> bool:
        """Whether nothing more will come from the shard."""
        return self.answer is not None or (self.is_given_up and not self.running)

    @property
    def is_lost(self) -> bool:
        """Whether the shard will have no answer."""
        return self.answer is None and self.is_given_up and not self.running

    @property
    def oldest(self) -> RunningCall | None:
        """The call that has run longest, or None."""
        return next(iter(self.running.values()), None)
