"""Decoding of the entries that replicas write to the store."""

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
    # Calls that the replica runs at once; it queues a few more.
    n_slots: Annotated[int, Field(ge=1)] = Field(alias="MaxConcurrency")
    state: Literal["ready", "draining"] = Field(alias="State")
    # How much longer the replica serves slowly after its start.
    warm_up_left_ms: float = Field(alias="WarmupLeftMs", default=0.0)
    # Unix millisecond of the start; with the id it names an incarnation.
    born: int = 0


def read_registration(stored: StoredObject) -> Registration | Failure:
    """Return what a replica says of itself, or why the entry names none."""
    try:
        entry = _ServerEntry.model_validate(json.loads(stored.value))
    except ValidationError as error:
        first = error.errors()[0]
        place = ".".join(str(part) for part in first["loc"])
        return INVALID_REQUEST.with_reason(f"{place}: {first['msg']}")
    except ValueError as error:
        return INVALID_REQUEST.with_reason(str(error))
    replica = Replica(stored.name, entry.address, entry.zone, entry.born, entry.n_slots)
    return Registration(
        replica, entry.service, entry.state == "draining", entry.warm_up_left_ms
    )
