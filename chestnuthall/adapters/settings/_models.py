"""Models of the settings file."""

from typing import Annotated

import jsonc
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from chestnuthall.core.results import CONFIGURATION_REJECTED, Failure

Address = Annotated[str, Field(pattern=r"^[0-9a-f.:\[\]]+:[0-9]{1,5}$")]


class _Model(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class StatsdSettings(_Model):
    """Where metrics go."""

    host: str = "127.0.0.1"
    port: Annotated[int, Field(ge=1, le=65_535)] = 8125
    prefix: str = "chestnuthall"


class LimitSettings(_Model):
    """Bounds that protect the instance from its callers."""

    n_header_bytes_max: Annotated[int, Field(ge=1024)] = 16 * 1024
    n_body_bytes_max: Annotated[int, Field(ge=1024)] = 1024 * 1024
    n_connections_max: Annotated[int, Field(ge=1)] = 1024
    idle_timeout_ms: Annotated[float, Field(gt=0.0)] = 75_000.0


class InstanceSettings(_Model):
    """Everything that differs between the instances of an environment."""

    name: Annotated[str, Field(pattern=r"^[a-z][a-z0-9-]{0,62}$")]
    environment: Annotated[str, Field(pattern=r"^[a-z][a-z0-9-]{0,62}$")]
    zone: Annotated[str, Field(min_length=1)]
    caller_address: Address
    peer_address: Address
    store_address: Address
    leave_notice_ms: Annotated[float, Field(ge=0.0)] = 3_000.0
    # Searches are divided over the instances; every instance needs the switch.
    two_level_fan_out: bool = False
    statsd: StatsdSettings | None = None
    limits: LimitSettings = LimitSettings()
    log_level: Annotated[str, Field(pattern="^(DEBUG|INFO|WARNING|ERROR)$")] = "INFO"


def read_settings(text: str) -> InstanceSettings | Failure:
    """Check a settings file."""
    try:
        return InstanceSettings.model_validate(jsonc.loads(text))
    except (ValueError, ValidationError) as error:
        return CONFIGURATION_REJECTED.because(str(error))
