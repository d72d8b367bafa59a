"""Encoding and decoding of the entries that instances write to the store."""

import json

from pydantic import BaseModel, ConfigDict, ValidationError

from chestnuthall.core.results import INVALID_REQUEST, Failure
from chestnuthall.platform._addresses import SocketAddress
from chestnuthall.ports import StoredObject
from chestnuthall.services import InstanceEntry


class _Entry(BaseModel):
    model_config = ConfigDict(extra="ignore", frozen=True)

    peer_address: SocketAddress
    zone: str


def read_instance(stored: StoredObject) -> InstanceEntry | Failure:
    """Decode an instance's entry; return a failure if it is invalid."""
    try:
        entry = _Entry.model_validate_json(stored.value)
    except ValidationError as error:
        first = error.errors()[0]
        location = ".".join(str(item) for item in first["loc"])
        return INVALID_REQUEST.with_reason(f"{location}: {first['msg']}")
    return InstanceEntry(stored.name, entry.peer_address, entry.zone)


def encode_instance(entry: InstanceEntry) -> str:
    """Return the stored value of an instance's entry."""
    return json.dumps({"peer_address": entry.address, "zone": entry.zone})
