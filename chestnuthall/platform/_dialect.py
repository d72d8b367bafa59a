"""The dialect of the platform's store: objects with metadata, spec and status."""

import json
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any, TypeVar
from urllib.parse import quote

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from chestnuthall.adapters.http import HttpRequest, HttpResponse
from chestnuthall.adapters.objectapi import (
    ListPage,
    failure_from_status,
    parse_leniently,
)
from chestnuthall.core.results import (
    OBJECT_NOT_FOUND,
    STORE_UNAVAILABLE,
    STORE_WRITE_UNKNOWN,
    Failure,
)
from chestnuthall.core.versions import EraReading, StatedEra, UnstatedEra
from chestnuthall.ports import StoredObject, WatchBatch

_JSON_HEADERS = {b"content-type": b"application/json"}
# Rises by one each time the store comes back from a copy.
_ERA_HEADER = b"store-era"
# Eras with more digits are not plausible, and would make versions arbitrarily long.
_N_ERA_DIGITS_MAX = 9


class _Meta(BaseModel):
    model_config = ConfigDict(extra="ignore", frozen=True)

    name: str = Field(alias="Name")
    # Store version of the object's last write.
    revision: int = Field(alias="Revision")


class _Object(BaseModel):
    model_config = ConfigDict(extra="ignore", frozen=True)

    meta: _Meta
    # Content of the object, in a format of its writer.
    spec: Any = None

    def to_stored_object(self, kind: str, seen_version: int = 0) -> StoredObject:
        meta = self.meta
        value = _encode_spec(self.spec)
        return StoredObject(kind, meta.name, meta.revision, value, seen_version)


def _encode_spec(spec: Any) -> str:
    """Return a spec as JSON text, or ``null`` if it cannot be written as such."""
    if isinstance(spec, str):
        return spec
    try:
        return json.dumps(spec)
    except (ValueError, RecursionError):
        # Another writer's number has more digits than Python converts.
        return "null"


class _Event(BaseModel):
    model_config = ConfigDict(extra="ignore", frozen=True)

    # The object after the change, or its last state if it was deleted.
    object: _Object = Field(alias="Object")
    is_deleted: bool = Field(alias="Deleted", default=False)


class _ListResponse(BaseModel):
    model_config = ConfigDict(extra="ignore", frozen=True)

    items: tuple[Any, ...]
    has_more: bool = Field(alias="More", default=False)
    # Version of the store, from which a watch may start.
    version: int = Field(alias="At")


class _WatchResponse(BaseModel):
    model_config = ConfigDict(extra="ignore", frozen=True)

    events: tuple[Any, ...] = ()
    version: int = Field(alias="At")


_Model = TypeVar("_Model", bound=BaseModel)


def _decode_body(model: type[_Model], body: bytes) -> _Model | None:
    """Decode a body; parts that no parser accepts become null.

    Such a part is the work of another writer, and must not hide the other objects.
    """
    try:
        return model.model_validate_json(body)
    except ValidationError:
        try:
            return model.model_validate(parse_leniently(body))
        except ValueError:
            return None


@dataclass(frozen=True, slots=True)
class PlatformDialect:
    """Encodes requests to the platform's store and decodes its responses.

    ``kinds`` maps the product's kinds to the platform's where they differ.
    ``singleton_names`` maps kinds with a single object to its name; such an object is
    read by a list request, whose response also states the version from which to
    watch. Lists of ``stale_kinds`` may be seconds old, which reduces their cost to a
    tenth.
    """

    kinds: Mapping[str, str] = field(default_factory=dict)
    singleton_names: Mapping[str, str] = field(default_factory=dict)
    stale_kinds: frozenset[str] = frozenset()

    def read_era(self, response: HttpResponse) -> EraReading:
        """Return the era that a response states."""
        value = response.headers.get(_ERA_HEADER, b"").strip()
        if not value.isdigit() or len(value) > _N_ERA_DIGITS_MAX or not int(value):
            return UnstatedEra()
        return StatedEra(int(value))

    def _kind_path(self, kind: str) -> str:
        return f"/v1/objects/{quote(self.kinds.get(kind, kind), safe='')}"

    def _object_path(self, kind: str, name: str) -> str:
        return f"{self._kind_path(kind)}/{quote(name, safe='')}"

    def get(self, kind: str, name: str) -> HttpRequest:
        """Return the request that reads one object."""
        if kind in self.singleton_names:
            return self.list_kind(kind, "")
        return HttpRequest("GET", self._object_path(kind, name))

    def list_kind(self, kind: str, after: str) -> HttpRequest:
        """Return the request for the page of objects that follow a name."""
        options = []
        if after:
            options.append(f"after={quote(after, safe='')}")
        if kind in self.stale_kinds:
            options.append("AllowStale=1")
        query = "?" + "&".join(options) if options else ""
        return HttpRequest("GET", self._kind_path(kind) + query)

    def create(self, kind: str, name: str, value: str) -> HttpRequest:
        """Return the request that creates an object, which must not exist yet."""
        body = {"meta": {"Name": name}, "spec": json.loads(value)}
        return HttpRequest(
            "POST",
            self._kind_path(kind),
            dict(_JSON_HEADERS),
            json.dumps(body).encode(),
        )

    def update(self, kind: str, name: str, value: str, version: int) -> HttpRequest:
        """Return the request that replaces an object that has the given version."""
        meta = {"Name": name, "Revision": version}
        body = {"meta": meta, "spec": json.loads(value)}
        path = self._object_path(kind, name)
        return HttpRequest("PUT", path, dict(_JSON_HEADERS), json.dumps(body).encode())

    def delete(self, kind: str, name: str, version: int) -> HttpRequest:
        """Return the request that deletes an object that has the given version."""
        path = f"{self._object_path(kind, name)}?Revision={version}"
        return HttpRequest("DELETE", path)

    def watch(self, kind: str, after_version: int, timeout_ms: float) -> HttpRequest:
        """Return the request that waits for changes made after a version."""
        query = f"?Watch={after_version}&WaitMs={timeout_ms:.0f}"
        return HttpRequest("GET", self._kind_path(kind) + query)

    def decode_object(
        self, kind: str, name: str, response: HttpResponse
    ) -> StoredObject | Failure:
        """Decode the response to a read of one object."""
        if kind in self.singleton_names:
            page = self.decode_list(kind, response)
            if isinstance(page, Failure):
                return page
            stored_name = self.singleton_names[kind]
            for item in page.objects:
                if item.name == stored_name:
                    return StoredObject(
                        kind, name, item.version, item.value, page.version
                    )
            return OBJECT_NOT_FOUND.with_reason(f"no object {stored_name!r}")
        if response.status != 200:
            return failure_from_status(response)
        try:
            return _Object.model_validate_json(response.body).to_stored_object(kind)
        except ValidationError:
            return STORE_UNAVAILABLE.with_reason("the store sent an invalid object")

    def decode_list(self, kind: str, response: HttpResponse) -> ListPage | Failure:
        """Decode one page of a list; invalid entries are left out."""
        if response.status != 200:
            return failure_from_status(response)
        listed = _decode_body(_ListResponse, response.body)
        if listed is None:
            return STORE_UNAVAILABLE.with_reason("the store sent an invalid list")
        objects = tuple(
            item.to_stored_object(kind, listed.version)
            for item in map(_decode_object, listed.items)
            if item is not None
        )
        last = objects[-1].name if objects and listed.has_more else ""
        return ListPage(objects, last, listed.version)

    def decode_write(self, kind: str, response: HttpResponse) -> StoredObject | Failure:
        """Decode the response to a write.

        The failure tells whether the write may have taken effect.
        """
        if response.status == 503:
            return STORE_UNAVAILABLE.with_reason(
                "the store refused the write with status 503"
            )
        if response.status not in (200, 201):
            return failure_from_status(response)
        try:
            return _Object.model_validate_json(response.body).to_stored_object(kind)
        except ValidationError:
            return STORE_WRITE_UNKNOWN.with_reason("the store sent an invalid object")

    def decode_watch(self, kind: str, response: HttpResponse) -> WatchBatch | Failure:
        """Decode a watch response, keeping the last event of each object."""
        if response.status != 200:
            return failure_from_status(response)
        watched = _decode_body(_WatchResponse, response.body)
        if watched is None:
            return STORE_UNAVAILABLE.with_reason(
                "the store sent an invalid watch batch"
            )
        last: dict[str, _Event] = {}
        for event in map(_read_event, watched.events):
            if event is not None:
                last[event.object.meta.name] = event
        changed = tuple(
            self._with_singleton_name(
                item.object.to_stored_object(kind, watched.version)
            )
            for item in last.values()
            if not item.is_deleted
        )
        deleted = tuple(name for name, item in last.items() if item.is_deleted)
        return WatchBatch(watched.version, changed, deleted)

    def _with_singleton_name(self, stored: StoredObject) -> StoredObject:
        """Return the object, with the product's name if it is a singleton."""
        if self.singleton_names.get(stored.kind) != stored.name:
            return stored
        return StoredObject(
            stored.kind,
            SINGLETON_NAME,
            stored.version,
            stored.value,
            stored.seen_version,
        )


# The product's name for each singleton of the platform.
SINGLETON_NAME = "platform"


def _decode_object(item: object) -> _Object | None:
    try:
        return _Object.model_validate(item)
    except ValidationError:
        return None


def _read_event(item: object) -> _Event | None:
    try:
        return _Event.model_validate(item)
    except ValidationError:
        return None
