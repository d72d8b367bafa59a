"""Decoding of the registrations that replicas write to the store."""

import json
from typing import Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from chestnuthall.core.model import Replica
from chestnuthall.core.registry import Registration
from chestnuthall.core.results import INVALID_REQUEST, Failure
from chestnuthall.platform._addresses import SocketAddress
from chestnuthall.ports import StoredObject

# Limits of what a replica can mean by its numbers.
N_SLOTS_MAX = 100_000
BORN_MAX_MS = 2**53


class _ServerEntry(BaseModel):
    model_config = ConfigDict(extra="ignore", frozen=True, strict=True)

    service: str = Field(alias="Service", min_length=1)
    address: SocketAddress = Field(alias="Address")
    zone: str = Field(alias="Zone")
    # Calls that the replica runs concurrently; it queues a few more.
    n_slots: int = Field(alias="MaxConcurrency", ge=1, le=N_SLOTS_MAX)
    state: Literal["ready", "draining"] = Field(alias="State")
    # Remaining time for which the replica is slower, having just started.
    warm_up_left_ms: float = Field(
        alias="WarmupLeftMs", default=0.0, ge=0.0, allow_inf_nan=False
    )
    # Start time in Unix milliseconds; identifies an incarnation with the id.
    born: int = Field(default=0, ge=0, le=BORN_MAX_MS)


def read_registration(stored: StoredObject) -> Registration | Failure:
    """Decode a replica's registration; return a failure if it is invalid.

    The name is sent to the replica in a header of each call.
    """
    if not stored.name.isprintable():
        return INVALID_REQUEST.with_reason("the name has unprintable characters")
    try:
        entry = _ServerEntry.model_validate(json.loads(stored.value))
    except ValidationError as error:
        first = error.errors()[0]
        location = ".".join(str(item) for item in first["loc"])
        return INVALID_REQUEST.with_reason(f"{location}: {first['msg']}")
    except (ValueError, RecursionError) as error:
        return INVALID_REQUEST.with_reason(f"no valid JSON: {error!s:.100}")
    replica = Replica(stored.name, entry.address, entry.zone, entry.born, entry.n_slots)
    return Registration(
        replica, entry.service, entry.state == "draining", entry.warm_up_left_ms
    )
