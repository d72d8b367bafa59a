"""Models of the settings file of an instance."""

from collections.abc import Iterator
from typing import Annotated, Any

from pydantic import BaseModel, ConfigDict, Field

from chestnuthall.adapters.commentedjson import (
    RuleViolation,
    check_text,
    describe_problems,
)
from chestnuthall.core.results import CONFIGURATION_REJECTED, Failure

Address = Annotated[str, Field(pattern=r"^[0-9a-f.:\[\]]+:[0-9]{1,5}$")]
Name = Annotated[str, Field(pattern=r"^[a-z][a-z0-9-]{0,62}$")]


class _Model(BaseModel):
    model_config = ConfigDict(
        extra="forbid", frozen=True, use_attribute_docstrings=True
    )


class StatsdSettings(_Model):
    """Statsd server that receives the metrics."""

    host: str = "127.0.0.1"
    """Numeric address of the statsd server."""
    port: Annotated[int, Field(ge=1, le=65_535)] = 8125
    """UDP port of the statsd server."""
    prefix: str = "chestnuthall"
    """Prefix of the name of each metric."""


class LimitSettings(_Model):
    """Limits that protect the instance from its callers."""

    n_header_bytes_max: Annotated[int, Field(ge=1024)] = 16 * 1024
    """Maximum size of the head of a request."""
    n_body_bytes_max: Annotated[int, Field(ge=1024)] = 1024 * 1024
    """Maximum size of the body of a request."""
    n_connections_max: Annotated[int, Field(ge=1)] = 1024
    """Maximum number of open connections from callers."""
    idle_timeout_ms: Annotated[float, Field(gt=0.0)] = 75_000.0
    """A connection without a request is closed after this time."""


class InstanceSettings(_Model):
    """Settings that may differ between the instances of an environment."""

    schema_address: Annotated[str | None, Field(alias="$schema")] = None
    """Address of the JSON Schema, for editors. The system does not read it."""
    name: Name
    """Name of the instance, as in the platform's list."""
    environment: Name
    """Environment whose document the instance follows."""
    zone: Annotated[str, Field(min_length=1)]
    """Availability zone of the instance."""
    caller_address: Address
    """Numeric address and port for callers and operators."""
    peer_address: Address
    """Numeric address and port for the other instances."""
    store_address: Address
    """Numeric address and port of the platform's object API."""
    leave_notice_ms: Annotated[float, Field(ge=0.0)] = 3_000.0
    """A leaving instance continues to serve for this time before it stops listening."""
    two_level_fan_out: bool = False
    """Divide searches over the instances; every instance needs the same value."""
    statsd: StatsdSettings | None = None
    """Statsd server that receives the metrics. When left out, none are sent."""
    limits: LimitSettings = LimitSettings()
    """Limits on what callers may send and keep open."""
    log_level: Annotated[str, Field(pattern="^(DEBUG|INFO|WARNING|ERROR)$")] = "INFO"
    """Minimum severity of the lines that are logged."""


def check_addresses(value: Any) -> Iterator[RuleViolation]:
    """Yield addresses that two listeners of the instance would share."""
    if not isinstance(value, dict) or not value.get("caller_address"):
        return
    if value["caller_address"] == value.get("peer_address"):
        yield RuleViolation(
            ("peer_address",),
            "it equals caller_address",
            "give the two listeners different ports",
        )


def read_settings(text: str, file_name: str = "settings") -> InstanceSettings | Failure:
    """Validate a settings file."""
    checked = check_text(text, InstanceSettings, file_name, (check_addresses,))
    if isinstance(checked, tuple):
        return CONFIGURATION_REJECTED.with_reason(describe_problems(checked))
    return checked
