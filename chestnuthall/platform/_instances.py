"""Entries of instances in the store."""

import json

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from chestnuthall.core.results import INVALID_REQUEST, Failure
from chestnuthall.ports import StoredObject
from chestnuthall.services import InstanceEntry


class _Entry(BaseModel):
    model_config = ConfigDict(extra="ignore", frozen=True)

    peer_address: str = Field(pattern=r"^[0-9.]+:[0-9]{1,5}$")
    zone: str


def read_instance(stored: StoredObject) -> InstanceEntry | Failure:
    """Return what an instance says of itself, or why its entry cannot be used."""
    try:
        entry = _Entry.model_validate_json(stored.value)
    except ValidationError as error:
        first = error.errors()[0]
        place = ".".join(str(part) for part in first["loc"])
        return INVALID_REQUEST.with_reason(f"{place}: {first['msg']}")
    return InstanceEntry(stored.name, entry.peer_address, entry.zone)


def write_instance(entry: InstanceEntry) -> str:
    """Return the stored value of an instance's entry."""
    return json.dumps({"peer_address": entry.address, "zone": entry.zone})
