"""Encoding and decoding of the quarantine records in the store."""

import json

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from chestnuthall.core.quarantine import QuarantineRecord
from chestnuthall.core.results import INVALID_REQUEST, Failure
from chestnuthall.ports import StoredObject


class _Record(BaseModel):
    model_config = ConfigDict(extra="ignore", frozen=True, strict=True)

    evidence: frozenset[str] = Field(strict=False)
    lost: frozenset[str] = Field(strict=False)
    zones: frozenset[str] = Field(strict=False)
    shards: frozenset[str] = Field(strict=False)
    # Absent in records of earlier versions.
    answered: frozenset[str] = Field(default=frozenset(), strict=False)
    is_quarantined: bool
    n_retests: int = Field(ge=0)
    # Absent in records of earlier versions.
    n_probes: int = Field(default=0, ge=0)
    n_unanswered_probes: int = Field(default=0, ge=0)


def read_quarantine(stored: StoredObject) -> QuarantineRecord | Failure:
    """Decode a record; return a failure if it is invalid."""
    try:
        record = _Record.model_validate_json(stored.value)
    except ValidationError as error:
        return INVALID_REQUEST.with_reason(str(error.errors()[0]["msg"]))
    return QuarantineRecord(
        fingerprint=stored.name,
        replica_names=record.evidence,
        lost_names=record.lost,
        zones=record.zones,
        shard_ids=record.shards,
        answered_shard_ids=record.answered,
        is_quarantined=record.is_quarantined,
        n_retests=record.n_retests,
        n_probes=record.n_probes,
        n_unanswered_probes=record.n_unanswered_probes,
    )


def encode_quarantine(record: QuarantineRecord) -> str:
    """Return the stored value of a record."""
    return json.dumps(
        {
            "evidence": sorted(record.replica_names),
            "lost": sorted(record.lost_names),
            "zones": sorted(record.zones),
            "shards": sorted(record.shard_ids),
            "answered": sorted(record.answered_shard_ids),
            "is_quarantined": record.is_quarantined,
            "n_retests": record.n_retests,
            "n_probes": record.n_probes,
            "n_unanswered_probes": record.n_unanswered_probes,
        }
    )
