"""Settings of an instance on the platform, rendered by ``deploy/instance.jsonc``."""

from collections.abc import Mapping
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from chestnuthall.adapters.commentedjson import check_text, describe_problems
from chestnuthall.core.results import CONFIGURATION_REJECTED, Failure

Address = Annotated[str, Field(pattern=r"^[0-9a-f.:\[\]]+:[0-9]{1,5}$")]
# Fields that describe the machine; these variables go before the settings file.
VARIABLES = {
    "memory_mb": "CHESTNUTHALL_MEMORY_MB",
    "n_descriptors": "CHESTNUTHALL_DESCRIPTORS",
}
Positive = Annotated[float, Field(gt=0.0)]
NotNegative = Annotated[float, Field(ge=0.0)]


class PlatformSettings(BaseModel):
    """Settings of one instance and bounds set by the deployment."""

    model_config = ConfigDict(extra="ignore", frozen=True)

    name: Annotated[str, Field(min_length=1)]
    """Name of the instance, unchanged by a restart."""
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
    """Time without disruption after which the store counts as stable."""
    configuration_deadline_ms: Positive
    """Time from its acceptance within which a configuration must be in force."""
    drain_ms: Positive
    """Time from its notice after which a leaving replica must get no new calls."""
    grace_s: Positive
    """Time from the stop signal until the platform kills the process."""
    repeat_ratio: NotNegative
    """Repeated calls allowed to a service, as a ratio of its requests."""
    repeat_window_s: Positive
    """Length of the window in which repeated calls are counted."""
    n_repeats_floor: NotNegative
    """Repeated calls allowed to a service per window in addition to the ratio."""
    memory_mb: Positive = 300.0
    """Memory of the machine. Half of what exceeds 64 MB is for what clients send or do
    not read; beyond it, the largest messages are refused or connections closed."""
    n_descriptors: Annotated[int, Field(gt=0)] = 4_100
    """Descriptors of the process. They and the memory determine the number of open
    connections, which is 1,024 each for callers and peers unless less is available."""
    log_level: Annotated[str, Field(pattern="^(DEBUG|INFO|WARNING|ERROR)$")] = "INFO"
    """Minimum severity of log lines."""


def read_settings(
    text: str,
    file_name: str = "settings",
    environment: Mapping[str, str] | None = None,
) -> PlatformSettings | Failure:
    """Validate the text of a settings file, and the variables of the environment."""
    checked = check_text(text, PlatformSettings, file_name)
    if isinstance(checked, tuple):
        return CONFIGURATION_REJECTED.with_reason(describe_problems(checked))
    variables = environment or {}
    given = {field: variables[x] for field, x in VARIABLES.items() if variables.get(x)}
    try:
        return PlatformSettings.model_validate(checked.model_dump() | given)
    except ValidationError as error:
        first = error.errors()[0]
        name = VARIABLES[str(first["loc"][0])]
        return CONFIGURATION_REJECTED.with_reason(f"{name}: {first['msg']}")
