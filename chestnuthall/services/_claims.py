"""Claims idempotency keys in the object store."""

import asyncio
from collections import deque
from collections.abc import Callable, Coroutine
from functools import singledispatchmethod
from random import Random
from secrets import token_hex
from typing import Protocol

from chestnuthall.core.claims import (
    EMPTY_PARTITION,
    AwaitWriteSlot,
    ClaimAbandoned,
    ClaimAction,
    ClaimEvent,
    ClaimRequested,
    ClaimWithdrawn,
    CompleteClaim,
    Delay,
    DelayEnded,
    KeyClaim,
    LedgerPartition,
    LedgerSettings,
    PartitionClaimMachine,
    PartitionRead,
    Phase,
    ReadFailed,
    ReadPartition,
    StoreCircuitBreaker,
    WriteConflicted,
    WriteFailed,
    WritePartition,
    WriteRateLimiter,
    WriteSlotGranted,
    WriteSucceeded,
    WriteUnresolved,
    partition_name,
)
from chestnuthall.core.model import MutationRequest
from chestnuthall.core.results import (
    DEADLINE_PASSED,
    OBJECT_CONFLICT,
    OBJECT_NOT_FOUND,
    RATE_LIMITED,
    STORE_UNAVAILABLE,
    STORE_WRITE_UNKNOWN,
    Failure,
)
from chestnuthall.ports import Clock, ObjectStore, StoredObject

CLAIMS_KIND = "claims"
# The store answers within milliseconds; a mutation must not wait for the end of an
# outage.
STORE_TIMEOUT_MS = 500.0
# Limit on the claim writes of the whole fleet. The store accepts several hundred
# writes a second, some of which are needed for the instances' status objects.
N_FLEET_WRITES_PER_S = 250.0
N_BURST_WRITES = 8
# Claims that would wait longer for a write slot are refused at once, so that the
# mutations whose claims are written have time left to run.
WRITE_SLOT_WAIT_MAX_MS = 300.0
# Lets every instance make progress when the fleet is too large for the limit.
N_WRITES_PER_S_MIN = 1.0
# Limit on the entries of all cached partitions; an entry takes about 300 bytes.
N_CACHED_ENTRIES_MAX = 50_000


class PartitionCodec(Protocol):
    """Converts a ledger partition to and from its stored text."""

    def encode(self, partition: LedgerPartition) -> str:
        """Return the text to store."""
        ...

    def decode(self, text: str) -> LedgerPartition | Failure:
        """Return the partition that a stored text contains."""
        ...


class ClaimLedger:
    """Claims idempotency keys by conditional updates of the partition objects.

    ``n_instances`` returns the size of the fleet, by which the fleet-wide limit
    on writes is divided.
    """

    def __init__(
        self,
        store: ObjectStore,
        clock: Clock,
        codec: PartitionCodec,
        settings: LedgerSettings,
        n_instances: Callable[[], int] = lambda: 1,
        random: Random | None = None,
    ) -> None:
        self._store = store
        self._clock = clock
        self._codec = codec
        self._settings = settings
        self._n_instances = n_instances
        self._random = random or Random()
        self._write_limiter = WriteRateLimiter(N_BURST_WRITES)
        self._breaker = StoreCircuitBreaker()
        self._slot_queue: deque[str] = deque()
        self._is_granting = False
        self._partitions: dict[str, PartitionClaimMachine] = {}
        self._waiters: dict[str, asyncio.Future[Failure | None]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def claim(self, request: MutationRequest) -> KeyClaim | Failure:
        """Claim the key of a request; return the claim, as ``abandon`` needs it."""
        claim = KeyClaim(
            request.idempotency_key, token_hex(8), float(request.issued_at_ms)
        )
        name = self._partition_name(claim)
        if self._is_overloaded(name):
            return RATE_LIMITED.with_reason(
                "too many claims are waiting for a write slot"
            )
        waiter: asyncio.Future[Failure | None]
        waiter = asyncio.get_running_loop().create_future()
        self._waiters[claim.token] = waiter
        wall_ms = self._clock.wall_ms()
        self._handle(name, ClaimRequested(wall_ms, claim))
        try:
            failure = await self._wait(claim, waiter, request.deadline_ms)
        except asyncio.CancelledError:
            self._withdraw_or_abandon(claim, waiter)
            raise
        return claim if failure is None else failure

    def abandon(self, claim: KeyClaim) -> None:
        """Release a claim whose mutation was not and will not be dispatched.

        Best effort: returns at once, and while the store is unavailable the key
        stays claimed.
        """
        self._handle(
            self._partition_name(claim), ClaimAbandoned(self._clock.wall_ms(), claim)
        )

    async def close(self) -> None:
        """Cancel the store calls in progress."""
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _partition_name(self, claim: KeyClaim) -> str:
        return partition_name(claim.idempotency_key, self._settings.n_partitions)

    async def _wait(
        self,
        claim: KeyClaim,
        waiter: "asyncio.Future[Failure | None]",
        deadline_ms: float,
    ) -> Failure | None:
        remaining_ms = deadline_ms - self._clock.now_ms()
        await asyncio.wait([waiter], timeout=max(0.0, remaining_ms) / 1000.0)
        if not waiter.done():
            self._withdraw(claim)
            return await waiter
        if waiter.result() is None and self._clock.now_ms() >= deadline_ms:
            # The claim was completed too late for the mutation to be dispatched.
            self.abandon(claim)
            return DEADLINE_PASSED.with_reason("the deadline passed during the claim")
        return waiter.result()

    def _withdraw(self, claim: KeyClaim) -> None:
        self._handle(
            self._partition_name(claim), ClaimWithdrawn(self._clock.wall_ms(), claim)
        )

    def _withdraw_or_abandon(
        self, claim: KeyClaim, waiter: "asyncio.Future[Failure | None]"
    ) -> None:
        if waiter.done() and not waiter.cancelled():
            if waiter.result() is None:
                self.abandon(claim)
            return
        self._withdraw(claim)

    def _handle(self, name: str, event: ClaimEvent) -> None:
        partition = self._partitions.get(name)
        if partition is None:
            partition = self._partitions[name] = PartitionClaimMachine(self._settings)
        for action in partition.handle(event):
            self._perform(action, name)
        if partition.phase is Phase.IDLE:
            self._limit_cache(name)

    def _limit_cache(self, name: str) -> None:
        """Drop the least recently used partitions from a cache that is too large."""
        self._partitions[name] = self._partitions.pop(name)
        caches = [
            (item, len(item.cached[1].entries))
            for item in self._partitions.values()
            if item.cached is not None
        ]
        n_entries = sum(n for _, n in caches)
        for item, n in caches:
            if n_entries <= N_CACHED_ENTRIES_MAX:
                return
            item.drop_cache()
            n_entries -= n

    @singledispatchmethod
    def _perform(self, action: ClaimAction, name: str) -> None:
        raise TypeError(f"not an action: {type(action).__name__}")

    @_perform.register
    def _(self, action: CompleteClaim, name: str) -> None:
        waiter = self._waiters.pop(action.token, None)
        if waiter is not None and not waiter.done():
            waiter.set_result(action.failure)

    @_perform.register
    def _(self, action: ReadPartition, name: str) -> None:
        self._start(self._read(name))

    @_perform.register
    def _(self, action: AwaitWriteSlot, name: str) -> None:
        self._slot_queue.append(name)
        if not self._is_granting:
            self._is_granting = True
            self._start(self._grant_write_slots())

    def _write_rate_per_s(self) -> float:
        rate_per_s = N_FLEET_WRITES_PER_S / max(1, self._n_instances())
        return max(rate_per_s, N_WRITES_PER_S_MIN)

    async def _grant_write_slots(self) -> None:
        """Grant write slots in order at the limited rate; idle partitions use none."""
        try:
            while self._slot_queue:
                await self._grant_write_slot(self._slot_queue.popleft())
        finally:
            self._is_granting = False

    async def _grant_write_slot(self, name: str) -> None:
        if self._partitions[name].has_work:
            now_ms = self._clock.now_ms()
            wait_ms = self._write_limiter.reserve(now_ms, self._write_rate_per_s())
            if wait_ms > 0.0:
                await self._clock.sleep_ms(wait_ms)
        self._handle(name, WriteSlotGranted(self._clock.wall_ms()))

    def _is_overloaded(self, name: str) -> bool:
        """Return whether a new claim would wait too long for a write slot."""
        partition = self._partitions.get(name)
        if partition is not None and partition.phase is not Phase.IDLE:
            return False
        n_busy = sum(
            1 for item in self._partitions.values() if item.phase is not Phase.IDLE
        )
        n_max = (
            N_BURST_WRITES + self._write_rate_per_s() * WRITE_SLOT_WAIT_MAX_MS / 1000.0
        )
        return n_busy > n_max

    @_perform.register
    def _(self, action: Delay, name: str) -> None:
        self._start(self._sleep(name, action.duration_ms, DelayEnded))

    @_perform.register
    def _(self, action: WritePartition, name: str) -> None:
        self._start(self._write(name, action))

    def _start(self, coroutine: Coroutine[None, None, None]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _sleep(
        self, name: str, duration_ms: float, make_event: Callable[[float], ClaimEvent]
    ) -> None:
        if duration_ms > 0.0:
            await self._clock.sleep_ms(duration_ms)
        self._handle(name, make_event(self._clock.wall_ms()))

    async def _read(self, name: str) -> None:
        self._handle(name, await self._read_partition(name))

    async def _read_partition(self, name: str) -> ClaimEvent:
        if not self._breaker.try_acquire(self._clock.now_ms()):
            failure = STORE_UNAVAILABLE.with_reason("the store circuit breaker is open")
            return ReadFailed(self._clock.wall_ms(), failure)
        stored = await self._store.get(CLAIMS_KIND, name, STORE_TIMEOUT_MS)
        wall_ms = self._clock.wall_ms()
        if isinstance(stored, StoredObject):
            self._breaker.record_success()
            decoded = self._codec.decode(stored.value)
            if isinstance(decoded, Failure):
                return ReadFailed(wall_ms, decoded)
            return PartitionRead(wall_ms, stored.version, decoded)
        if stored.kind is OBJECT_NOT_FOUND:
            self._breaker.record_success()
            return PartitionRead(wall_ms, 0, EMPTY_PARTITION)
        self._breaker.record_failure(self._clock.now_ms())
        return ReadFailed(wall_ms, stored)

    async def _write(self, name: str, action: WritePartition) -> None:
        text = self._codec.encode(action.partition)
        written = await self._store_text(name, action.version, text)
        self._handle(name, self._event_from_write(written))

    async def _store_text(
        self, name: str, version: int, text: str
    ) -> StoredObject | Failure:
        if version == 0:
            return await self._store.create(CLAIMS_KIND, name, text, STORE_TIMEOUT_MS)
        return await self._store.update(
            CLAIMS_KIND, name, text, version, STORE_TIMEOUT_MS
        )

    def _event_from_write(self, written: StoredObject | Failure) -> ClaimEvent:
        wall_ms = self._clock.wall_ms()
        if isinstance(written, StoredObject):
            return WriteSucceeded(wall_ms, written.version)
        if written.kind is OBJECT_CONFLICT:
            return WriteConflicted(wall_ms, self._random.random())
        if written.kind is STORE_WRITE_UNKNOWN:
            return WriteUnresolved(wall_ms)
        if written.kind is not RATE_LIMITED:
            self._breaker.record_failure(self._clock.now_ms())
        return WriteFailed(wall_ms, written)
