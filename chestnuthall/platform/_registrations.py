"""Decoding of the registrations that replicas write to the store."""

import json
from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from chestnuthall.core.model import Replica
from chestnuthall.core.registry import Registration
from chestnuthall.core.results import INVALID_REQUEST, Failure
from chestnuthall.ports import StoredObject


class _ServerEntry(BaseModel):
    model_config = ConfigDict(extra="ignore", frozen=True, strict=True)

    service: str = Field(alias="Service", min_length=1)
    address: str = Field(alias="Address", pattern=r"^[0-9.]+:[0-9]{1,5}$")
    zone: str = Field(alias="Zone")
    # Calls that the replica runs concurrently; it queues a few more.
    n_slots: Annotated[int, Field(ge=1)] = Field(alias="MaxConcurrency")
    state: Literal["ready", "draining"] = Field(alias="State")
    # Remaining time for which the replica is slower, having just started.
    warm_up_left_ms: float = Field(alias="WarmupLeftMs", default=0.0)
    # Start time in Unix milliseconds; identifies an incarnation with the id.
    born: int = 0


def read_registration(stored: StoredObject) -> Registration | Failure:
    """Decode a replica's registration; return a failure if it is invalid."""
    try:
        entry = _ServerEntry.model_validate(json.loads(stored.value))
    except ValidationError as error:
        first = error.errors()[0]
        location = ".".join(str(item) for item in first["loc"])
        return INVALID_REQUEST.with_reason(f"{location}: {first['msg']}")
    except ValueError as error:
        return INVALID_REQUEST.with_reason(str(error))
    replica = Replica(stored.name, entry.address, entry.zone, entry.born, entry.n_slots)
    return Registration(
        replica, entry.service, entry.state == "draining", entry.warm_up_left_ms
    )
