"""Entries of the platform's list of instances."""

import json
from typing import Literal

from pydantic import BaseModel, ConfigDict, ValidationError

from chestnuthall.core.results import INVALID_REQUEST, Failure
from chestnuthall.ports import InstanceListEntry, InstanceRole


class InstanceModel(BaseModel):
    """Value of an ``instances`` object; other fields of the platform are ignored."""

    model_config = ConfigDict(extra="ignore", frozen=True)

    name: str
    role: Literal["entry", "upstream"]
    zone: str
    address: str
    peer_address: str = ""
    state: Literal["live", "leaving"] = "live"

    def to_core(self) -> InstanceListEntry:
        """Return the entry as a data class of the ports."""
        return InstanceListEntry(
            name=self.name,
            role=InstanceRole(self.role),
            zone=self.zone,
            address=self.address,
            peer_address=self.peer_address,
            is_leaving=self.state == "leaving",
        )


def encode_instance(model: InstanceModel) -> str:
    """Return the text that is stored."""
    return model.model_dump_json()


def mark_leaving(text: str) -> str | Failure:
    """Return an entry with the state ``leaving``; other fields stay as they are."""
    model = read_instance(text)
    if isinstance(model, Failure):
        return model
    return json.dumps({**json.loads(text), "state": "leaving"})


def read_instance(text: str) -> InstanceModel | Failure:
    """Decode one entry of the list."""
    try:
        return InstanceModel.model_validate_json(text)
    except ValidationError as error:
        return INVALID_REQUEST.with_reason(str(error))
