"""Models of a load pattern: a JSON document with comments."""

from collections.abc import Iterator
from pathlib import Path
from typing import Annotated, Any, Literal

from pydantic import BaseModel, ConfigDict, Field

from benchmarks._deployments import DEPLOYMENTS, Deployment
from chestnuthall.adapters.commentedjson import (
    RuleViolation,
    check_text,
    describe_problems,
)
from chestnuthall.core.results import CONFIGURATION_REJECTED, Failure

NotNegative = Annotated[float, Field(ge=0.0)]
Positive = Annotated[float, Field(gt=0.0)]


class _Model(BaseModel):
    model_config = ConfigDict(
        extra="forbid", frozen=True, use_attribute_docstrings=True
    )


class Step(_Model):
    """Change of the rate of a stream, or a burst if it ends."""

    at_ms: NotNegative
    """Time of the change since the start."""
    for_ms: Positive = float("inf")
    """Duration of the change."""
    factor: NotNegative
    """Factor of the rate during the change."""
    zone: str | None = None
    """Availability zone whose instances get the additional requests; all if absent."""


class Wave(_Model):
    """Sinusoidal change of the rate of a stream."""

    swing_ratio: Annotated[float, Field(ge=0.0, le=1.0)]
    """Largest change of the rate as a fraction of it."""
    period_ms: Positive
    """Duration of one period."""


class CallerStream(_Model):
    """Callers of one class that send requests of one kind."""

    class_name: str
    """Class of the callers."""
    group: str
    """Upstream group of the requests."""
    kind: Literal["search", "lookup"] = "search"
    """Kind of the requests."""
    load_ratio: Positive
    """Rate as a fraction of the rate of searches that the group can sustain."""
    deadline_ms: Positive = 1_000.0
    """Time after which a caller gives up, over all its attempts."""
    n_retries: Annotated[int, Field(ge=0)] = 1
    """Attempts after the first one of a caller that was rejected."""
    honours_retry_after: bool = True
    """Whether the callers wait as they are told; otherwise they repeat at once."""
    steps: tuple[Step, ...] = ()
    """Changes of the rate."""
    wave: Wave | None = None
    """Regular change of the rate."""


class Trouble(_Model):
    """Trouble of upstream replicas or of instances."""

    kind: Literal["slow", "unavailable", "restart"]
    """Slow or unavailable replicas, or a restart of instances one after the other."""
    at_ms: NotNegative
    """Start of the trouble."""
    for_ms: Positive
    """Duration of the trouble."""
    group: str | None = None
    """Group of the replicas; all groups if absent."""
    shard: Annotated[int, Field(ge=0)] | None = None
    """Number of the only shard whose replicas are affected; all shards if absent."""
    ratio: Annotated[float, Field(gt=0.0, le=1.0)] = 1.0
    """Fraction of the replicas or instances."""
    factor: Positive = 10.0
    """Factor of the service time of slow replicas."""


class LoadPattern(_Model):
    """Load of a fleet over time, with the troubles of its upstreams."""

    deployment: Literal["derwent", "hundemarke"]
    """Modelled deployment."""
    duration_ms: Positive
    """Time during which requests are sent."""
    n_queued_max: dict[str, Annotated[int, Field(ge=1)]] = {}
    """Limit of the queue of a class at each instance, by class."""
    streams: Annotated[tuple[CallerStream, ...], Field(min_length=1)]
    """Callers."""
    troubles: tuple[Trouble, ...] = ()
    """Troubles."""

    def find_deployment(self) -> Deployment:
        """Return the modelled deployment."""
        return next(item for item in DEPLOYMENTS if item.name == self.deployment)


def _unknown_names(value: Any) -> Iterator[RuleViolation]:
    """Check that groups and zones belong to the deployment."""
    if not isinstance(value, dict):
        return
    found = [item for item in DEPLOYMENTS if item.name == value.get("deployment")]
    if not found:
        return
    groups = [group.name for group in found[0].groups]
    streams = value.get("streams")
    for index, stream in enumerate(streams if isinstance(streams, list) else ()):
        if isinstance(stream, dict) and stream.get("group") not in groups:
            yield RuleViolation(
                ("streams", index, "group"),
                "the deployment has no such group",
                f"one of {', '.join(groups)}",
            )


def read_pattern(path: Path) -> LoadPattern | Failure:
    """Read and check a document; the failure names all its problems."""
    checked = check_text(path.read_text(), LoadPattern, path.name, (_unknown_names,))
    if isinstance(checked, tuple):
        return CONFIGURATION_REJECTED.with_reason(describe_problems(checked))
    return checked
