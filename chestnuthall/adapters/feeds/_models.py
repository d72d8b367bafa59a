"""Bodies of feeds: JSON, compressed because each body is sent to many peers."""

import json
import zlib

from pydantic import BaseModel, ConfigDict, ValidationError

from chestnuthall.core.results import STORE_UNAVAILABLE, Failure
from chestnuthall.ports import StoredObject, WatchBatch

# Documents compress to about a tenth; the fastest level takes 3 ms for 300 KB.
COMPRESSION_LEVEL = 1
# Limit of a decompressed body; a few times the size of the store's objects.
N_DECOMPRESSED_BYTES_MAX = 16 * 1024 * 1024


class _Object(BaseModel):
    model_config = ConfigDict(extra="ignore", frozen=True)

    name: str
    version: int
    value: str


class _Batch(BaseModel):
    model_config = ConfigDict(extra="ignore", frozen=True)

    version: int
    changed: tuple[_Object, ...] = ()
    deleted_names: tuple[str, ...] = ()


def encode_batch(batch: WatchBatch) -> bytes:
    """Return the body that encodes changes, or all objects at a version."""
    value = {
        "version": batch.version,
        "changed": [
            {"name": item.name, "version": item.version, "value": item.value}
            for item in batch.changed
        ],
        "deleted_names": list(batch.deleted_names),
    }
    return zlib.compress(json.dumps(value).encode(), COMPRESSION_LEVEL)


def decode_batch(kind: str, body: bytes) -> WatchBatch | Failure:
    """Decode a body; return a failure if it is invalid."""
    try:
        decompressed = zlib.decompressobj().decompress(body, N_DECOMPRESSED_BYTES_MAX)
        batch = _Batch.model_validate_json(decompressed)
    except (zlib.error, ValidationError) as error:
        return STORE_UNAVAILABLE.with_reason(
            f"invalid feed from a peer: {error!s:.100}"
        )
    changed = tuple(
        StoredObject(kind, item.name, item.version, item.value, batch.version)
        for item in batch.changed
    )
    return WatchBatch(batch.version, changed, batch.deleted_names)
