"""In-process fakes of the ports."""

from chestnuthall.core.results import (
    OBJECT_CONFLICT,
    OBJECT_NOT_FOUND,
    STORE_UNAVAILABLE,
    STORE_WRITE_UNKNOWN,
    Failure,
)
from chestnuthall.ports import InstanceStatus, StoredObject
from chestnuthall.standins.objectapi._objects import (
    ObjectTable,
    UnknownObject,
    VersionConflict,
)


class FakeClock:
    """Clock that advances only when code sleeps on it."""

    def __init__(self):
        self.at_ms = 1_000_000.0

    def now_ms(self):
        return self.at_ms

    def wall_ms(self):
        return self.at_ms

    async def sleep_ms(self, duration_ms):
        self.at_ms += max(0.0, duration_ms)


class InMemoryObjectStore:
    """In-memory object store with scripted write faults.

    ``write_faults`` has one entry for each of the next writes of ``faulty_kind``:
    "lose_answer" applies the write and loses its answer, "lose_write" loses the
    write, and "" is no fault. A callable is called after the write is applied, and
    the answer is lost.
    """

    def __init__(self, faulty_kind="environments"):
        self.table = ObjectTable()
        self.faulty_kind = faulty_kind
        self.write_faults = []
        self.n_failing_reads = 0
        self.n_calls = 0

    async def get(self, kind, name, timeout_ms):
        self.n_calls += 1
        if self.n_failing_reads > 0:
            self.n_failing_reads -= 1
            return STORE_UNAVAILABLE.with_reason("scripted")
        try:
            return self._stored(self.table.get(kind, name))
        except UnknownObject as error:
            return OBJECT_NOT_FOUND.with_reason(str(error))

    async def list_kind(self, kind, timeout_ms):
        self.n_calls += 1
        return tuple(self._stored(item) for item in self.table.list_kind(kind))

    async def create(self, kind, name, value, timeout_ms):
        return self._write(kind, name, value, 0)

    async def update(self, kind, name, value, version, timeout_ms):
        return self._write(kind, name, value, version)

    def _stored(self, entry):
        return StoredObject(entry.kind, entry.name, entry.version, entry.value)

    def _write(self, kind, name, value, version):
        self.n_calls += 1
        fault = ""
        if kind == self.faulty_kind and self.write_faults:
            fault = self.write_faults.pop(0)
        if fault == "lose_write":
            return STORE_WRITE_UNKNOWN.with_reason("scripted")
        try:
            entry = self.table.put(kind, name, value, version)
        except VersionConflict as error:
            return OBJECT_CONFLICT.with_reason(str(error))
        if callable(fault):
            fault()
        if fault:
            return STORE_WRITE_UNKNOWN.with_reason("scripted")
        return self._stored(entry)


class RecordingInstanceAdmin:
    """Instance admin client that records the announced documents."""

    def __init__(self, statuses=()):
        self.statuses = {status.name: status for status in statuses}
        self.announced = []

    async def status(self, address, timeout_ms):
        found = self.statuses.get(address)
        return STORE_UNAVAILABLE.with_reason("no answer") if found is None else found

    async def offer_configuration(self, address, stored_text, timeout_ms):
        self.announced.append((address, stored_text))
        return 1


def make_status(name, *, revision=1, digest="", since_wall_ms=0.0, results=()):
    """Return the status of an instance in trial."""
    return InstanceStatus(
        name=name,
        zone="zone-a",
        environment="trial",
        is_ready=True,
        is_leaving=False,
        n_in_flight=0,
        revision=revision,
        digest=digest,
        since_wall_ms=since_wall_ms,
        n_by_result=results,
    )


def is_failure(result, kind):
    """Return whether a result is a failure of the given kind."""
    return isinstance(result, Failure) and result.kind is kind
