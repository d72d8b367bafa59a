"""The status object that an instance keeps in the store."""

import logging
from collections.abc import Callable, Mapping, Sequence
from random import Random
from typing import Protocol

from chestnuthall.core.model import Configuration
from chestnuthall.core.results import OBJECT_NOT_FOUND, Failure
from chestnuthall.ports import Clock, ObjectStore, StoredObject
from chestnuthall.services._configuration import ConfigurationManager
from chestnuthall.services._drain_news import DrainExchange
from chestnuthall.services._lifecycle import Lifecycle
from chestnuthall.services._membership import Membership
from chestnuthall.services._quarantine_exchange import QuarantineExchange

_log = logging.getLogger(__name__)

STATUS_KIND = "status"
STORE_TIMEOUT_MS = 2_000.0
INTERVAL_MIN_MS = 5_000.0
# The store accepts several hundred writes a second, most of them for claims.
# All instances together use 30 of them: at 1,900 instances each one writes
# every 63 s. A new revision triggers no write, as otherwise 1,900 instances
# would write at once 1,800 times a day.
N_FLEET_WRITES_PER_S = 30.0
# An unchanged status is written after this many intervals, to show that it is
# current.
N_INTERVALS_UNCHANGED_MAX = 5

StatusEncoder = Callable[[Mapping[str, object]], str]


class StatusSection(Protocol):
    """A service that provides a section of the status object."""

    @property
    def status_name(self) -> str:
        """Name of the section's field in the status object."""
        ...

    def read_status(self) -> object:
        """Return plain values: mappings, sequences, strings and numbers."""
        ...


class StatusReporter:
    """Writes ``status/<instance>`` by conditional update, at a bounded rate."""

    def __init__(
        self,
        membership: Membership,
        store: ObjectStore,
        clock: Clock,
        encode: StatusEncoder,
        random: Random,
        sections: Sequence[StatusSection] = (),
    ) -> None:
        self._membership = membership
        self._store = store
        self._clock = clock
        self._encode = encode
        self._random = random
        self._sections = list(sections)
        self._version: int | None = None
        self._written_text = ""
        self._n_intervals_since_write = 0

    def add_section(self, section: StatusSection) -> None:
        """Add the section of a service to the status."""
        self._sections.append(section)

    def interval_ms(self) -> float:
        """Return the time between two writes of this instance."""
        n_instances = self._membership.counts.n_connection_holders
        return max(INTERVAL_MIN_MS, n_instances / N_FLEET_WRITES_PER_S * 1000.0)

    def read(self) -> dict[str, object]:
        """Return the status, without values that change at every read."""
        identity = self._membership.identity
        status: dict[str, object] = {
            "instance": identity.name,
            "zone": identity.zone,
            "incarnation": self._membership.incarnation,
        }
        for section in self._sections:
            status[section.status_name] = section.read_status()
        return status

    async def run(self) -> None:
        """Write the status until cancelled."""
        while True:
            # A random delay spreads the writes of instances that started together.
            jitter = self._random.uniform(0.5, 1.0)
            await self._clock.sleep_ms(self.interval_ms() * jitter)
            await self._write_if_due()

    async def _write_if_due(self) -> None:
        text = self._encode(self.read())
        self._n_intervals_since_write += 1
        if (
            text != self._written_text
            or self._n_intervals_since_write >= N_INTERVALS_UNCHANGED_MAX
        ):
            await self.write()

    async def write(self) -> None:
        """Write the status now; after a failure the next write tries again."""
        text = self._encode(self.read())
        if self._version is None:
            written = await self._write_first(text)
        else:
            written = await self._store.update(
                STATUS_KIND, self._name, text, self._version, STORE_TIMEOUT_MS
            )
        if isinstance(written, Failure):
            # After a conflict or a lost answer the version is unknown.
            self._version = None
            _log.warning("cannot write status", extra={"result_code": written.code})
            return
        self._version = written.version
        self._written_text = text
        self._n_intervals_since_write = 0

    @property
    def _name(self) -> str:
        return self._membership.identity.name

    async def _write_first(self, text: str) -> StoredObject | Failure:
        found = await self._store.get(STATUS_KIND, self._name, STORE_TIMEOUT_MS)
        if not isinstance(found, Failure):
            return await self._store.update(
                STATUS_KIND, self._name, text, found.version, STORE_TIMEOUT_MS
            )
        if found.kind is not OBJECT_NOT_FOUND:
            return found
        return await self._store.create(STATUS_KIND, self._name, text, STORE_TIMEOUT_MS)


class ConfigurationStatus:
    """The revision in force, and when it came into force."""

    status_name = "configuration"

    def __init__(self, configuration: ConfigurationManager, clock: Clock) -> None:
        self._clock = clock
        self._revision = configuration.revision
        self._digest = ""
        self._since_wall_ms = 0.0
        configuration.add_listener(self._update)

    def _update(self, configuration: Configuration) -> None:
        self._revision = configuration.revision
        self._digest = configuration.digest
        self._since_wall_ms = self._clock.wall_ms()

    def read_status(self) -> object:
        """Return the revision, its digest and when it came into force."""
        return {
            "revision": self._revision,
            "digest": self._digest,
            "since_wall_ms": self._since_wall_ms,
        }


class FleetStatus:
    """Whether the instance is leaving, and its counts of the fleet's instances."""

    status_name = "fleet"

    def __init__(self, lifecycle: Lifecycle, membership: Membership) -> None:
        self._lifecycle = lifecycle
        self._membership = membership

    def read_status(self) -> object:
        """Return the leave state and the counts of instances."""
        counts = self._membership.counts
        return {
            "leaving": self._lifecycle.is_leaving,
            "n_live": counts.n_live,
            "n_joining": counts.n_joining,
            "n_leaving": counts.n_leaving,
            "n_unreachable": counts.n_unreachable,
        }


class NoticesStatus:
    """Drained replicas and quarantined requests."""

    status_name = "news"

    def __init__(self, drains: DrainExchange, quarantines: QuarantineExchange) -> None:
        self._drains = drains
        self._quarantines = quarantines

    def read_status(self) -> object:
        """Return drained replicas with their signals, and quarantined fingerprints."""
        return {
            "drains": {
                notice.replica_name: notice.signal.value
                for notice in self._drains.active_notices()
            },
            "quarantines": [
                suspicion.fingerprint
                for suspicion in self._quarantines.suspicions()
                if self._quarantines.is_quarantined(suspicion.fingerprint)
            ],
        }
