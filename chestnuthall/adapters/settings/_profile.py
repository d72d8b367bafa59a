"""Model of the profile of the operators' tool."""

from collections.abc import Iterator
from typing import Annotated, Any

from pydantic import BaseModel, ConfigDict, Field

from chestnuthall.adapters.commentedjson import (
    RuleViolation,
    check_text,
    describe_problems,
)
from chestnuthall.adapters.settings._models import Address, Name
from chestnuthall.core.results import CONFIGURATION_REJECTED, Failure


class ToolProfile(BaseModel):
    """Settings of the tool for one operator."""

    model_config = ConfigDict(
        extra="forbid", frozen=True, use_attribute_docstrings=True
    )

    schema_address: Annotated[str | None, Field(alias="$schema")] = None
    """Address of the JSON Schema, for editors. The tool does not read it."""
    store_address: Address
    """Numeric address and port of the platform's object API."""
    operator: Annotated[str, Field(min_length=1, max_length=64)]
    """Name under which the history records the actions of this operator."""
    trial_environment: Name = "trial"
    """Environment in which documents are tried before promotion."""
    production_environment: Name = "production"
    """Environment to which documents are promoted."""
    in_force_timeout_ms: Annotated[float, Field(ge=0.0)] = 8_000.0
    """Maximum time to wait until an accepted revision is in force on all instances."""
    trial_min_ms: Annotated[float, Field(ge=0.0)] = 60_000.0
    """A document must be in force in the trial environment for this time before
    promotion."""
    n_trial_requests_min: Annotated[int, Field(ge=0)] = 1
    """Minimum number of requests that the trial environment must have served with a
    document before promotion."""


def check_environments(value: Any) -> Iterator[RuleViolation]:
    """Yield a production environment that equals the trial environment."""
    if not isinstance(value, dict):
        return
    production = value.get("production_environment", "production")
    if production == value.get("trial_environment", "trial"):
        yield RuleViolation(
            ("production_environment",),
            "it equals trial_environment",
            "name two different environments",
        )


def read_profile(text: str, file_name: str = "profile") -> ToolProfile | Failure:
    """Validate a profile."""
    checked = check_text(text, ToolProfile, file_name, (check_environments,))
    if isinstance(checked, tuple):
        return CONFIGURATION_REJECTED.with_reason(describe_problems(checked))
    return checked
