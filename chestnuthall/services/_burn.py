"""Counts outcomes on an instance and adds them to the stored counts."""

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Protocol
from zlib import crc32

from chestnuthall.core.burn import (
    BurnAccumulator,
    BurnCounts,
    BurnDelta,
    BurnLedger,
    DeltaDecision,
    add_delta,
    affects_burn,
    burn_cause,
    decide_delta,
    flush_interval_ms,
    ledger_partition,
    mark_attempted,
)
from chestnuthall.core.model import Answer, Configuration, Refusal
from chestnuthall.core.results import (
    OBJECT_NOT_FOUND,
    Failure,
    ResultCode,
)
from chestnuthall.ports import Clock, Metrics, ObjectStore, StoredObject
from chestnuthall.services._configuration import ConfigurationKeeper

_log = logging.getLogger(__name__)

BURN_KIND = "burn"
STORE_TIMEOUT_MS = 2_000.0
# Attempts within one flush; a change that is still open waits for the next one.
N_TRIES_MAX = 4
RETRY_DELAY_MS = 200.0


class BurnCodec(Protocol):
    """Text form of the stored counts."""

    def encode(self, ledger: BurnLedger) -> str:
        """Return the text that is stored."""
        ...

    def decode(self, text: str) -> BurnLedger | Failure:
        """Return the counts that a text stands for."""
        ...


@dataclass(frozen=True, slots=True)
class _OpenDelta:
    """A change that is not known to be stored, with the object it goes to."""

    object_name: str
    delta: BurnDelta


class BurnRecorder:
    """Counts the outcomes of one instance.

    ``writer`` must be unique to this run of the process, because its changes
    are numbered from 1. What has not been flushed is lost with the process.
    """

    def __init__(
        self,
        *,
        writer: str,
        environment: str,
        store: ObjectStore,
        clock: Clock,
        metrics: Metrics,
        codec: BurnCodec,
        configuration: ConfigurationKeeper,
        count_instances: Callable[[], int],
        random: Random,
    ) -> None:
        self._writer = writer
        self._environment = environment
        self._store = store
        self._clock = clock
        self._metrics = metrics
        self._codec = codec
        self._configuration = configuration
        self._count_instances = count_instances
        self._random = random
        self._pending = BurnAccumulator()
        self._open: _OpenDelta | None = None
        self._sequence = 0
        # The last flush of a leaving instance may meet the periodic one.
        self._flushing = asyncio.Lock()
        self._n_by_result: dict[str, int] = {}
        self._since_wall_ms = 0.0
        configuration.on_change(self._begin_revision)

    def _begin_revision(self, configuration: Configuration) -> None:
        self._n_by_result = {}
        self._since_wall_ms = self._clock.wall_ms()

    @property
    def since_wall_ms(self) -> float:
        """When the configuration came into force here; 0 before the first."""
        return self._since_wall_ms

    @property
    def n_by_result(self) -> dict[str, int]:
        """Requests by name of result since the configuration came into force."""
        return dict(self._n_by_result)

    def record(self, outcome: Answer | Refusal) -> None:
        """Count one outcome."""
        account = outcome.account
        name = ResultCode(account.result_code).name
        if account.configuration_revision == self._configuration.revision:
            self._n_by_result[name] = self._n_by_result.get(name, 0) + 1
        in_force = self._configuration.in_force
        if in_force is None or not affects_burn(account.result_code):
            return
        caller_class = in_force.document.find_class(account.class_name)
        if caller_class is None:
            return
        cause = burn_cause(account, caller_class.objective)
        self._pending.add(caller_class.name, cause, account.finished_wall_ms)
        if cause is not None:
            self._metrics.count(f"burn.bad.{cause.value}")

    async def run(self) -> None:
        """Flush at intervals that grow with the fleet, until cancelled."""
        # A random first delay spreads the writes of instances started together.
        await self._clock.sleep_ms(self._interval_ms() * self._random.random())
        while True:
            await self.flush()
            await self._clock.sleep_ms(self._interval_ms())

    def _interval_ms(self) -> float:
        return flush_interval_ms(self._count_instances())

    async def flush(self) -> bool:
        """Add the counts to the stored ones; return whether none are left."""
        async with self._flushing:
            return await self._flush()

    async def _flush(self) -> bool:
        if self._open is None and self._pending.is_empty:
            return True
        for _ in range(N_TRIES_MAX):
            if self._open is None:
                self._open = self._next_delta()
            if await self._try_flush(self._open):
                self._open = None
                return self._pending.is_empty
            await self._clock.sleep_ms(RETRY_DELAY_MS * (1.0 + self._random.random()))
        self._metrics.count("burn.flush_postponed")
        _log.warning("burn counts postponed")
        return False

    def _next_delta(self) -> _OpenDelta:
        self._sequence += 1
        counts = self._pending.pop_counts()
        number = crc32(self._writer.encode())
        partition = ledger_partition(number, self._count_instances())
        name = f"{self._environment}.{partition}"
        return _OpenDelta(name, BurnDelta(self._writer, self._sequence, counts))

    async def _try_flush(self, item: _OpenDelta) -> bool:
        """Attempt one write; return whether the change is settled."""
        read = await self._read(item.object_name)
        if isinstance(read, Failure):
            return False
        ledger, version = read
        decision = decide_delta(ledger, item.delta)
        if decision is DeltaDecision.UNDETERMINED:
            self._metrics.count("burn.delta_given_up")
            _log.warning("burn counts given up")
        if decision is not DeltaDecision.ADD:
            return True
        delta = mark_attempted(ledger, item.delta)
        self._open = _OpenDelta(item.object_name, delta)
        text = self._codec.encode(add_delta(ledger, delta))
        written = await self._write(item.object_name, text, version)
        # After a lost answer the next attempt finds the writer's mark if the
        # write took effect.
        return isinstance(written, StoredObject)

    async def _read(self, name: str) -> tuple[BurnLedger, int] | Failure:
        stored = await self._store.get(BURN_KIND, name, STORE_TIMEOUT_MS)
        if isinstance(stored, Failure):
            return (BurnLedger(), 0) if stored.kind is OBJECT_NOT_FOUND else stored
        ledger = self._codec.decode(stored.value)
        return ledger if isinstance(ledger, Failure) else (ledger, stored.version)

    async def _write(
        self, name: str, text: str, version: int
    ) -> StoredObject | Failure:
        if version == 0:
            return await self._store.create(BURN_KIND, name, text, STORE_TIMEOUT_MS)
        return await self._store.update(
            BURN_KIND, name, text, version, STORE_TIMEOUT_MS
        )


async def read_burn(
    store: ObjectStore, codec: BurnCodec, environment: str
) -> BurnCounts | Failure:
    """Return the counts of all parts of an environment, added up."""
    listed = await store.list_kind(BURN_KIND, STORE_TIMEOUT_MS)
    if isinstance(listed, Failure):
        return listed
    counts = BurnCounts()
    for stored in listed:
        if stored.name.rpartition(".")[0] != environment:
            continue
        ledger = codec.decode(stored.value)
        if isinstance(ledger, Failure):
            return ledger
        counts = counts.plus(ledger.counts)
    return counts
