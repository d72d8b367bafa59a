"""Models of the environment document, which operators write as JSON with comments."""

from hashlib import sha256
from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field

from chestnuthall.adapters.commentedjson import (
    Problem,
    check_text,
    describe_problems,
)
from chestnuthall.adapters.documents._rules import CROSS_CHECKS
from chestnuthall.core.model import (
    CallerClass,
    EnvironmentDocument,
    ExtraLoadPolicy,
    Objective,
    UpstreamGroup,
)
from chestnuthall.core.results import CONFIGURATION_REJECTED, Failure

# Keeps a document, escaped as JSON and stored with the other fields of its record,
# below the store's limit of 1 MB per value.
N_DOCUMENT_BYTES_MAX = 256 * 1024

Name = Annotated[str, Field(pattern=r"^[a-z][a-z0-9-]{0,62}$")]
Ratio = Annotated[float, Field(ge=0.0, le=1.0)]
PositiveMs = Annotated[float, Field(gt=0.0, le=600_000.0)]


class _Model(BaseModel):
    model_config = ConfigDict(
        extra="forbid", frozen=True, use_attribute_docstrings=True
    )


class ObjectiveModel(_Model):
    """Service-level objective of a class."""

    latency_ms: PositiveMs | None = None
    """A request is good if it is answered within this time. When left out, it is
    1000 or the deadline, whichever is less."""
    good_ratio: Annotated[float, Field(gt=0.0, lt=1.0)] = 0.99
    """Fraction of the requests that must be good. The rest is the error budget."""

    def to_core(self, deadline_ms: float) -> Objective:
        """Return the objective as a core data class."""
        latency_ms = self.latency_ms or min(1000.0, deadline_ms)
        return Objective(latency_ms, self.good_ratio)


class CallerClassModel(_Model):
    """A class of callers."""

    share: Annotated[float, Field(gt=0.0)]
    """Weight of the class relative to the other classes."""
    urgency: Annotated[int, Field(ge=0, le=9)] = 0
    """Among the classes within their share, a higher urgency is served first."""
    coverage_floor_ratio: Ratio = 0.0
    """Least fraction of the index that an answer of this class covers."""
    deadline_ms: PositiveMs
    """Longest time that a request of this class may take."""
    soft_deadline_ms: PositiveMs | None = None
    """From this time on, an answer at or above the coverage floor is returned
    without waiting for stragglers. Needs a coverage floor above 0."""
    n_queued_max: Annotated[int, Field(ge=1, le=100_000)] = 256
    """Longest queue of the class, per instance and upstream group."""
    objective: ObjectiveModel = ObjectiveModel()
    """Service-level objective of the class."""

    def to_core(self, name: str) -> CallerClass:
        """Return the class as a core data class."""
        return CallerClass(
            name=name,
            share=self.share,
            urgency=self.urgency,
            coverage_floor_ratio=self.coverage_floor_ratio,
            deadline_ms=self.deadline_ms,
            soft_deadline_ms=self.soft_deadline_ms,
            n_queued_max=self.n_queued_max,
            objective=self.objective.to_core(self.deadline_ms),
        )


class UpstreamGroupModel(_Model):
    """A group of upstreams that serve one index."""

    n_slots: Annotated[int, Field(ge=1, le=10_000)]
    """Shard calls that one replica runs at once."""
    n_connections_max: Annotated[int, Field(ge=1, le=100_000)]
    """Connections that one replica accepts, from all instances together."""
    connect_cost_ms: Annotated[float, Field(ge=0.0)] = 1.0
    """Time to open a connection to a replica."""
    reserved_ratios: dict[Literal["search", "lookup", "mutation"], Ratio] = {}
    """Per kind of request, the fraction of the group's limit that other kinds may
    use only while it is idle."""

    def to_core(self, name: str) -> UpstreamGroup:
        """Return the group as a core data class."""
        return UpstreamGroup(
            name=name,
            n_slots=self.n_slots,
            n_connections_max=self.n_connections_max,
            connect_cost_ms=self.connect_cost_ms,
            reserved_ratios=tuple(sorted(self.reserved_ratios.items())),
        )


class ExtraLoadModel(_Model):
    """Budget for hedges and retries, per class of callers."""

    max_ratio: Ratio = 0.03
    """Hedges and retries as a fraction of all shard calls, while there is capacity."""
    full_below_ratio: Ratio = 0.70
    """Utilisation below which the full budget may be used."""
    none_above_ratio: Ratio = 0.95
    """Utilisation above which none of the budget may be used."""

    def to_core(self) -> ExtraLoadPolicy:
        """Return the budget as a core data class."""
        return ExtraLoadPolicy(
            max_ratio=self.max_ratio,
            full_below_ratio=self.full_below_ratio,
            none_above_ratio=self.none_above_ratio,
        )


class EnvironmentModel(_Model):
    """Document of one environment."""

    schema_address: Annotated[str | None, Field(alias="$schema")] = None
    """Address of the JSON Schema, for editors. The system does not read it."""
    classes: Annotated[dict[Name, CallerClassModel], Field(min_length=1)]
    """Classes of callers by name."""
    groups: Annotated[dict[Name, UpstreamGroupModel], Field(min_length=1)]
    """Upstream groups by name."""
    extra_load: ExtraLoadModel = ExtraLoadModel()
    """Budget for hedges and retries."""

    def to_core(self) -> EnvironmentDocument:
        """Return the document as a core data class."""
        return EnvironmentDocument(
            classes=tuple(item.to_core(name) for name, item in self.classes.items()),
            groups=tuple(item.to_core(name) for name, item in self.groups.items()),
            extra_load=self.extra_load.to_core(),
        )


def document_digest(text: str) -> str:
    """Return the SHA-256 of a document's bytes in hexadecimal."""
    return sha256(text.encode()).hexdigest()


def check_environment(
    text: str, file_name: str = "document"
) -> EnvironmentDocument | tuple[Problem, ...]:
    """Validate a document and return it as a core data class, or all its problems."""
    n_bytes = len(text.encode())
    if n_bytes > N_DOCUMENT_BYTES_MAX:
        rule = f"the document has {n_bytes} bytes"
        right = f"write at most {N_DOCUMENT_BYTES_MAX} bytes"
        return (Problem(file_name, 1, 1, "", rule, right),)
    model = check_text(text, EnvironmentModel, file_name, CROSS_CHECKS)
    return model if isinstance(model, tuple) else model.to_core()


def read_environment(
    text: str, file_name: str = "document"
) -> EnvironmentDocument | Failure:
    """Validate a document and return it as a core data class, or as a failure."""
    checked = check_environment(text, file_name)
    if isinstance(checked, tuple):
        return CONFIGURATION_REJECTED.with_reason(describe_problems(checked))
    return checked
