"""The environment document: JSON with comments, written by operators."""

from hashlib import sha256
from typing import Annotated, Literal

import jsonc
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from chestnuthall.core.model import (
    CallerClass,
    EnvironmentDocument,
    ExtraLoadPolicy,
    Objective,
    UpstreamGroup,
)
from chestnuthall.core.results import CONFIGURATION_REJECTED, Failure

Name = Annotated[str, Field(pattern=r"^[a-z][a-z0-9-]{0,62}$")]
Ratio = Annotated[float, Field(ge=0.0, le=1.0)]
PositiveMs = Annotated[float, Field(gt=0.0, le=600_000.0)]


class _Model(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class ObjectiveModel(_Model):
    """Service-level objective of a class."""

    latency_ms: PositiveMs = 1000.0
    good_ratio: Annotated[float, Field(gt=0.0, lt=1.0)] = 0.99

    def to_core(self) -> Objective:
        """Return the objective as the decisions see it."""
        return Objective(self.latency_ms, self.good_ratio)


class CallerClassModel(_Model):
    """A class of callers."""

    share: Annotated[float, Field(gt=0.0)]
    urgency: Annotated[int, Field(ge=0, le=9)] = 0
    coverage_floor_ratio: Ratio = 0.0
    deadline_ms: PositiveMs
    soft_deadline_ms: PositiveMs | None = None
    n_queued_max: Annotated[int, Field(ge=1, le=100_000)] = 256
    objective: ObjectiveModel = ObjectiveModel()

    def to_core(self, name: str) -> CallerClass:
        """Return the class as the decisions see it."""
        return CallerClass(
            name=name,
            share=self.share,
            urgency=self.urgency,
            coverage_floor_ratio=self.coverage_floor_ratio,
            deadline_ms=self.deadline_ms,
            soft_deadline_ms=self.soft_deadline_ms,
            n_queued_max=self.n_queued_max,
            objective=self.objective.to_core(),
        )


class UpstreamGroupModel(_Model):
    """A group of upstreams; ``n_slots`` and connections are per replica."""

    n_slots: Annotated[int, Field(ge=1, le=10_000)]
    n_connections_max: Annotated[int, Field(ge=1, le=100_000)]
    connect_cost_ms: Annotated[float, Field(ge=0.0)] = 1.0
    reserved_ratios: dict[Literal["search", "lookup", "mutation"], Ratio] = {}

    def to_core(self, name: str) -> UpstreamGroup:
        """Return the group as the decisions see it."""
        return UpstreamGroup(
            name=name,
            n_slots=self.n_slots,
            n_connections_max=self.n_connections_max,
            connect_cost_ms=self.connect_cost_ms,
            reserved_ratios=tuple(sorted(self.reserved_ratios.items())),
        )


class ExtraLoadModel(_Model):
    """Budget for hedges and retries."""

    max_ratio: Ratio = 0.03
    full_below_ratio: Ratio = 0.70
    none_above_ratio: Ratio = 0.95

    def to_core(self) -> ExtraLoadPolicy:
        """Return the budget as the decisions see it."""
        return ExtraLoadPolicy(
            max_ratio=self.max_ratio,
            full_below_ratio=self.full_below_ratio,
            none_above_ratio=self.none_above_ratio,
        )


class EnvironmentModel(_Model):
    """The whole document of one environment."""

    classes: Annotated[dict[Name, CallerClassModel], Field(min_length=1)]
    groups: Annotated[dict[Name, UpstreamGroupModel], Field(min_length=1)]
    extra_load: ExtraLoadModel = ExtraLoadModel()

    def to_core(self) -> EnvironmentDocument:
        """Return the document as the decisions see it."""
        return EnvironmentDocument(
            classes=tuple(item.to_core(name) for name, item in self.classes.items()),
            groups=tuple(item.to_core(name) for name, item in self.groups.items()),
            extra_load=self.extra_load.to_core(),
        )


def digest_of(text: str) -> str:
    """Return the SHA-256 of a document's bytes in hexadecimal."""
    return sha256(text.encode()).hexdigest()


def read_environment(text: str) -> EnvironmentDocument | Failure:
    """Check an environment document and return it for the decisions."""
    try:
        return EnvironmentModel.model_validate(jsonc.loads(text)).to_core()
    except (ValueError, ValidationError) as error:
        return CONFIGURATION_REJECTED.because(str(error))
