"""Encoding of object store calls as HTTP requests and decoding of the responses."""

from dataclasses import dataclass
from typing import Protocol
from urllib.parse import quote

from pydantic import BaseModel, ConfigDict, ValidationError

from chestnuthall.adapters.http import HttpRequest, HttpResponse
from chestnuthall.core.results import (
    HISTORY_TRIMMED,
    INVALID_REQUEST,
    OBJECT_CONFLICT,
    OBJECT_NOT_FOUND,
    RATE_LIMITED,
    STORE_UNAVAILABLE,
    STORE_WRITE_UNKNOWN,
    Failure,
    FailureKind,
)
from chestnuthall.core.versions import EraReading, UnstatedEra
from chestnuthall.ports import StoredObject, WatchBatch


@dataclass(frozen=True, slots=True)
class ListPage:
    """One page of a listing.

    ``next_cursor`` is the cursor of the next page, empty on the last page.
    ``version`` is the store's version when the page was read, 0 if unknown.
    """

    objects: tuple[StoredObject, ...]
    next_cursor: str = ""
    version: int = 0


class ObjectDialect(Protocol):
    """Encodes calls to the store and decodes its responses.

    Its versions are the store's revisions; ``read_era`` returns their era.
    """

    def read_era(self, response: HttpResponse) -> EraReading:
        """Return the era that a response states."""
        ...

    def get(self, kind: str, name: str) -> HttpRequest:
        """Return the request that reads one object."""
        ...

    def list_kind(self, kind: str, after: str) -> HttpRequest:
        """Return the request for the page of objects after the cursor ``after``."""
        ...

    def create(self, kind: str, name: str, value: str) -> HttpRequest:
        """Return the request that writes an object that must not exist yet."""
        ...

    def update(self, kind: str, name: str, value: str, version: int) -> HttpRequest:
        """Return the request that replaces an object if it has this version."""
        ...

    def delete(self, kind: str, name: str, version: int) -> HttpRequest:
        """Return the request that deletes an object if it has this version."""
        ...

    def watch(self, kind: str, after_version: int, timeout_ms: float) -> HttpRequest:
        """Return the request that waits for changes after a version."""
        ...

    def decode_object(
        self, kind: str, name: str, response: HttpResponse
    ) -> StoredObject | Failure:
        """Decode the response to the read of one object."""
        ...

    def decode_list(self, kind: str, response: HttpResponse) -> ListPage | Failure:
        """Decode the response to the request for a page of a listing."""
        ...

    def decode_write(self, kind: str, response: HttpResponse) -> StoredObject | Failure:
        """Decode the response to a write.

        The failure says whether the write may have taken effect.
        """
        ...

    def decode_watch(self, kind: str, response: HttpResponse) -> WatchBatch | Failure:
        """Decode the response to a watch."""
        ...


# HTTP statuses which guarantee that the call had no effect.
_FAILURE_KINDS_BY_STATUS: dict[int, FailureKind] = {
    400: INVALID_REQUEST,
    404: OBJECT_NOT_FOUND,
    409: OBJECT_CONFLICT,
    410: HISTORY_TRIMMED,
    412: OBJECT_CONFLICT,
    413: INVALID_REQUEST,
    429: RATE_LIMITED,
}


class _ObjectModel(BaseModel):
    model_config = ConfigDict(extra="ignore", frozen=True)

    kind: str
    name: str
    version: int
    value: str

    def to_port(self) -> StoredObject:
        return StoredObject(self.kind, self.name, self.version, self.value)


class _ListModel(BaseModel):
    objects: tuple[_ObjectModel, ...]


class _WatchModel(BaseModel):
    version: int
    changed: tuple[_ObjectModel, ...]
    deleted_names: tuple[str, ...] = ()


class VersionedDialect:
    """Dialect of the object API described in ``docs/object-kinds.md``.

    This API states no eras.
    """

    def read_era(self, response: HttpResponse) -> EraReading:
        """Return that the response states no era."""
        return UnstatedEra()

    def get(self, kind: str, name: str) -> HttpRequest:
        """Return the request that reads one object."""
        return HttpRequest("GET", _object_path(kind, name))

    def list_kind(self, kind: str, after: str) -> HttpRequest:
        """Return the request for all objects of a kind."""
        return HttpRequest("GET", f"/v1/objects/{quote(kind, safe='')}")

    def create(self, kind: str, name: str, value: str) -> HttpRequest:
        """Return the request that writes an object that must not exist yet."""
        return _write_request("PUT", kind, name, value, {b"if-none-match": b"*"})

    def update(self, kind: str, name: str, value: str, version: int) -> HttpRequest:
        """Return the request that replaces an object if it has this version."""
        return _write_request("PUT", kind, name, value, {b"if-match": b"%d" % version})

    def delete(self, kind: str, name: str, version: int) -> HttpRequest:
        """Return the request that deletes an object if it has this version."""
        return _write_request("DELETE", kind, name, "", {b"if-match": b"%d" % version})

    def watch(self, kind: str, after_version: int, timeout_ms: float) -> HttpRequest:
        """Return the request that waits for changes after a version."""
        target = (
            f"/v1/watch/{quote(kind, safe='')}"
            f"?after={after_version}&timeout_ms={timeout_ms:.0f}"
        )
        return HttpRequest("GET", target)

    def decode_object(
        self, kind: str, name: str, response: HttpResponse
    ) -> StoredObject | Failure:
        """Decode the response to the read of one object."""
        return _decode_object(response)

    def decode_list(self, kind: str, response: HttpResponse) -> ListPage | Failure:
        """Decode the response to the request for a listing, which has one page."""
        if response.status != 200:
            return failure_from_status(response)
        try:
            listed = _ListModel.model_validate_json(response.body)
        except ValidationError:
            return STORE_UNAVAILABLE.with_reason("the store sent an invalid list")
        return ListPage(tuple(item.to_port() for item in listed.objects))

    def decode_write(self, kind: str, response: HttpResponse) -> StoredObject | Failure:
        """Decode the response to a write."""
        return _decode_write(response)

    def decode_watch(self, kind: str, response: HttpResponse) -> WatchBatch | Failure:
        """Decode the response to a watch."""
        if response.status != 200:
            return failure_from_status(response)
        try:
            batch = _WatchModel.model_validate_json(response.body)
        except ValidationError:
            return STORE_UNAVAILABLE.with_reason(
                "the store sent an invalid watch batch"
            )
        changed = tuple(item.to_port() for item in batch.changed)
        return WatchBatch(batch.version, changed, batch.deleted_names)


def _write_request(
    method: str, kind: str, name: str, value: str, headers: dict[bytes, bytes]
) -> HttpRequest:
    return HttpRequest(
        method,
        _object_path(kind, name),
        {**headers, b"content-type": b"application/json"},
        value.encode(),
    )


def _object_path(kind: str, name: str) -> str:
    return f"/v1/objects/{quote(kind, safe='')}/{quote(name, safe='')}"


def _decode_write(response: HttpResponse) -> StoredObject | Failure:
    """Return the written object, or the failure of the write.

    Only the statuses in ``_FAILURE_KINDS_BY_STATUS`` prove that a write had no
    effect. After any other error status, such as a 5xx from the platform or from a
    proxy in front of it, the write may have taken effect or may still do so.
    """
    if response.status == 200:
        try:
            return _ObjectModel.model_validate_json(response.body).to_port()
        except ValidationError:
            return STORE_WRITE_UNKNOWN.with_reason("the store sent an invalid object")
    failure_kind = _FAILURE_KINDS_BY_STATUS.get(response.status, STORE_WRITE_UNKNOWN)
    return failure_kind.with_reason(_failure_reason(response))


def _decode_object(response: HttpResponse) -> StoredObject | Failure:
    if response.status != 200:
        return failure_from_status(response)
    try:
        return _ObjectModel.model_validate_json(response.body).to_port()
    except ValidationError:
        return STORE_UNAVAILABLE.with_reason("the store sent an invalid object")


def failure_from_status(response: HttpResponse) -> Failure:
    """Return the failure of a read that was answered with an error status."""
    failure_kind = _FAILURE_KINDS_BY_STATUS.get(response.status, STORE_UNAVAILABLE)
    return failure_kind.with_reason(_failure_reason(response))


def _failure_reason(response: HttpResponse) -> str:
    text = response.body.decode("utf-8", "replace")[:200]
    return f"status {response.status}: {text}"
