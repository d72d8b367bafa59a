"""JSON encoding of ledger partitions."""

import json

from pydantic import BaseModel, ConfigDict, ValidationError

from chestnuthall.core.claims import ClaimEntry, LedgerPartition
from chestnuthall.core.results import INTERNAL_ERROR, Failure


class _PartitionModel(BaseModel):
    """Stored partition; ``entries`` maps a key to its token and issue time."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    floor_ms: float
    entries: dict[str, tuple[str, float]]


class JsonPartitionCodec:
    """Encodes ledger partitions as compact JSON."""

    def encode(self, partition: LedgerPartition) -> str:
        """Return the text that is stored."""
        entries = {
            key: (entry.token, entry.issued_at_ms)
            for key, entry in partition.entries.items()
        }
        body = {"floor_ms": partition.floor_ms, "entries": entries}
        return json.dumps(body, separators=(",", ":"))

    def decode(self, text: str) -> LedgerPartition | Failure:
        """Return the partition that a stored text encodes."""
        try:
            model = _PartitionModel.model_validate_json(text)
        except ValidationError as error:
            return INTERNAL_ERROR.with_reason(
                f"a stored ledger partition is invalid: {error}"
            )
        entries = {key: ClaimEntry(*item) for key, item in model.entries.items()}
        return LedgerPartition(model.floor_ms, entries)
