"""Settings of an instance on the platform, rendered by ``deploy/instance.jsonc``."""

from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field

from chestnuthall.adapters.commentedjson import check_text, describe_problems
from chestnuthall.core.results import CONFIGURATION_REJECTED, Failure

Address = Annotated[str, Field(pattern=r"^[0-9a-f.:\[\]]+:[0-9]{1,5}$")]
Positive = Annotated[float, Field(gt=0.0)]
NotNegative = Annotated[float, Field(ge=0.0)]


class PlatformSettings(BaseModel):
    """What differs between instances, and the bounds of the deployment."""

    model_config = ConfigDict(extra="ignore", frozen=True)

    name: Annotated[str, Field(min_length=1)]
    """Name of the instance; a restarted one keeps it."""
    zone: Annotated[str, Field(min_length=1)]
    """Availability zone of the instance."""
    caller_address: Address
    """Address for callers."""
    ready_address: Address
    """Address of the readiness check."""
    metrics_address: Address
    """Address of the metrics page."""
    peer_address: Address
    """Address for the other instances."""
    seed_addresses: tuple[Address, ...] = ()
    """Peer addresses of a few instances, which may be stale."""
    store_address: Address
    """Address of the platform's store."""
    store_settle_ms: Positive
    """A store counts as stable after so long without disruption."""
    configuration_deadline_ms: Positive
    """Within this time of its acceptance, a configuration has to be in force."""
    drain_ms: Positive
    """Within this time of its notice, a leaving replica gets no new calls."""
    grace_s: Positive
    """Time from the stop signal until the platform ends the process."""
    repeat_ratio: NotNegative
    """Repeated calls allowed to a service, as a part of its requests."""
    repeat_window_s: Positive
    """Length of the window in which repeated calls are counted."""
    n_repeats_floor: NotNegative
    """Repeated calls allowed to a service in a window besides the ratio."""
    log_level: Annotated[str, Field(pattern="^(DEBUG|INFO|WARNING|ERROR)$")] = "INFO"
    """Least severity that is logged."""


def read_settings(text: str, file_name: str = "settings") -> PlatformSettings | Failure:
    """Check a settings file."""
    checked = check_text(text, PlatformSettings, file_name)
    if isinstance(checked, tuple):
        return CONFIGURATION_REJECTED.with_reason(describe_problems(checked))
    return checked
