"""Progress of one shard and of its calls."""

from dataclasses import dataclass, field
from enum import Enum

from chestnuthall.core.model import Shard, ShardAnswer, ShardCall


class ProbeStep(Enum):
    """Progress of the probe of a suspected request."""

    NONE = "none"
    NOTIFYING_PEERS = "warning"
    RUNNING = "running"


@dataclass(slots=True)
class RunningCall:
    """A call that has neither been answered nor failed.

    ``is_trial`` marks a call to a replica that is persistently slow.
    """

    call: ShardCall
    started_ms: float
    is_trial: bool = False

    @property
    def is_probe(self) -> bool:
        """Whether the outcome is the verdict on a suspected request."""
        return self.call.is_probe

    def is_answered_by(self, answer: ShardAnswer) -> bool:
        """Return whether an answer has the ids of this call."""
        call = self.call
        return (
            answer.call_id == call.call_id
            and answer.shard_id == call.shard_id
            and answer.snapshot_id == call.snapshot_id
        )


@dataclass(slots=True)
class ShardProgress:
    """Progress of one shard of the pinned map.

    ``retry_at_ms`` is set while the shard waits for its next attempt;
    ``has_failed`` means that no further attempt will be made, and
    ``is_deferred`` that the shard waits for the verdict on a suspected request.
    ``has_lost_replica`` means that a replica of the shard was lost while it ran
    the request, and ``has_replied`` that one answered it, perhaps with an error.
    The next attempt skips the replicas in ``tried_names``; ``contacted_names`` are
    all replicas to which a call may have been written.
    """

    shard: Shard
    running: dict[str, RunningCall] = field(default_factory=dict)
    tried_names: set[str] = field(default_factory=set)
    contacted_names: set[str] = field(default_factory=set)
    answer: ShardAnswer | None = None
    n_attempts: int = 0
    is_hedged: bool = False
    is_hedge_withheld: bool = False
    has_failed: bool = False
    is_deferred: bool = False
    has_lost_replica: bool = False
    has_replied: bool = False
    hedge_not_before_ms: float = float("-inf")
    retry_at_ms: float | None = None

    @property
    def is_finished(self) -> bool:
        """Whether the shard has an answer or will not get one."""
        return self.answer is not None or (self.has_failed and not self.running)

    @property
    def is_without_answer(self) -> bool:
        """Whether the shard ended without an answer."""
        return self.answer is None and self.has_failed and not self.running

    @property
    def oldest_call(self) -> RunningCall | None:
        """The call that was started first, or None if no call is running."""
        return next(iter(self.running.values()), None)
