"""Counts request outcomes and adds them to the stored burn counts."""

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
from chestnuthall.services._configuration import ConfigurationManager

_log = logging.getLogger(__name__)

BURN_KIND = "burn"
STORE_TIMEOUT_MS = 2_000.0
# Write attempts per flush; a delta that is still unresolved is left to the next one.
N_WRITE_ATTEMPTS_MAX = 4
RETRY_DELAY_MS = 200.0


class BurnCodec(Protocol):
    """Converts a burn ledger to and from its stored text."""

    def encode(self, ledger: BurnLedger) -> str:
        """Return the text to store."""
        ...

    def decode(self, text: str) -> BurnLedger | Failure:
        """Return the ledger that a stored text contains."""
        ...


@dataclass(frozen=True, slots=True)
class _UnresolvedDelta:
    """A delta that is not known to be stored, and the object that it is added to."""

    object_name: str
    delta: BurnDelta


class BurnRecorder:
    """Counts the outcomes of one instance.

    ``writer`` must be unique to this run of the process, because the sequence
    numbers of its deltas start at 1. Counts that have not been flushed are lost
    when the process ends.
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
        configuration: ConfigurationManager,
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
        self._unresolved: _UnresolvedDelta | None = None
        self._sequence = 0
        # The last flush of a leaving instance may overlap with the periodic one.
        self._flushing = asyncio.Lock()
        self._n_by_result: dict[str, int] = {}
        self._since_wall_ms = 0.0
        configuration.add_listener(self._reset_counts)

    def _reset_counts(self, configuration: Configuration) -> None:
        self._n_by_result = {}
        self._since_wall_ms = self._clock.wall_ms()

    @property
    def since_wall_ms(self) -> float:
        """Wall time at which the configuration came into force; 0 before the first."""
        return self._since_wall_ms

    @property
    def n_by_result(self) -> dict[str, int]:
        """Requests by result code since the configuration came into force."""
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
        """Flush at intervals that grow with the fleet size, until cancelled."""
        # A random first delay spreads the writes of instances started together.
        await self._clock.sleep_ms(self._interval_ms() * self._random.random())
        while True:
            await self.flush()
            await self._clock.sleep_ms(self._interval_ms())

    def _interval_ms(self) -> float:
        return flush_interval_ms(self._count_instances())

    async def flush(self) -> bool:
        """Add pending counts to the stored ones; return whether none are left."""
        async with self._flushing:
            return await self._flush()

    async def _flush(self) -> bool:
        if self._unresolved is None and self._pending.is_empty:
            return True
        for _ in range(N_WRITE_ATTEMPTS_MAX):
            if self._unresolved is None:
                self._unresolved = self._next_delta()
            if await self._try_flush(self._unresolved):
                self._unresolved = None
                return self._pending.is_empty
            await self._clock.sleep_ms(RETRY_DELAY_MS * (1.0 + self._random.random()))
        self._metrics.count("burn.flush_postponed")
        _log.warning("burn counts postponed")
        return False

    def _next_delta(self) -> _UnresolvedDelta:
        self._sequence += 1
        counts = self._pending.pop_counts()
        writer_hash = crc32(self._writer.encode())
        partition = ledger_partition(writer_hash, self._count_instances())
        name = f"{self._environment}.{partition}"
        return _UnresolvedDelta(name, BurnDelta(self._writer, self._sequence, counts))

    async def _try_flush(self, item: _UnresolvedDelta) -> bool:
        """Attempt one write; return whether the delta is resolved."""
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
        self._unresolved = _UnresolvedDelta(item.object_name, delta)
        text = self._codec.encode(add_delta(ledger, delta))
        written = await self._write(item.object_name, text, version)
        # If the answer was lost, the next attempt learns from the writer's state
        # in the ledger whether the write took effect.
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


async def read_burn_counts(
    store: ObjectStore, codec: BurnCodec, environment: str
) -> BurnCounts | Failure:
    """Return the counts of an environment, summed over its ledger partitions."""
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
