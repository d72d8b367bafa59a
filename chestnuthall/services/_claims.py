"""Claims of idempotency keys in the object store."""

from secrets import token_hex
from typing import Protocol

from chestnuthall.core.claims import (
    ClaimDecision,
    KeyClaim,
    LedgerPartition,
    LedgerSettings,
    add_claims,
    partition_name_of,
)
from chestnuthall.core.model import MutationRequest
from chestnuthall.core.results import (
    CLAIM_UNSETTLED,
    INVALID_REQUEST,
    KEY_ALREADY_CLAIMED,
    KEY_EXPIRED,
    LEDGER_FULL,
    OBJECT_CONFLICT,
    OBJECT_NOT_FOUND,
    STORE_WRITE_UNKNOWN,
    Failure,
)
from chestnuthall.ports import Clock, ObjectStore, StoredObject

CLAIMS_KIND = "claims"
STORE_TIMEOUT_MS = 1_000.0


class PartitionCodec(Protocol):
    """Text form of a ledger partition."""

    def encode(self, partition: LedgerPartition) -> str:
        """Return the text that is stored."""
        ...

    def decode(self, text: str) -> LedgerPartition | Failure:
        """Return the partition that a text stands for."""
        ...


class ClaimLedger:
    """Claims keys by conditional updates of the partitions' objects."""

    def __init__(
        self,
        store: ObjectStore,
        clock: Clock,
        codec: PartitionCodec,
        settings: LedgerSettings,
    ) -> None:
        self._store = store
        self._clock = clock
        self._codec = codec
        self._settings = settings

    async def claim(self, request: MutationRequest) -> str | Failure:
        """Claim the key of a request; return the token of the claim."""
        claim = KeyClaim(
            request.idempotency_key, token_hex(8), float(request.issued_at_ms)
        )
        name = partition_name_of(request.idempotency_key, self._settings.n_partitions)
        while self._clock.now_ms() < request.deadline_ms:
            outcome = await self._try_claim(name, claim)
            if outcome is None:
                continue
            return outcome
        return CLAIM_UNSETTLED.because("the deadline passed before the claim settled")

    async def _try_claim(self, name: str, claim: KeyClaim) -> str | Failure | None:
        stored = await self._store.get(CLAIMS_KIND, name, STORE_TIMEOUT_MS)
        version = 0
        partition = LedgerPartition(0.0, {})
        if isinstance(stored, StoredObject):
            decoded = self._codec.decode(stored.value)
            if isinstance(decoded, Failure):
                return decoded
            version, partition = stored.version, decoded
        elif stored.kind is not OBJECT_NOT_FOUND:
            return stored
        changed, decisions = add_claims(
            partition, (claim,), self._settings, self._clock.wall_ms()
        )
        failure = _failure_of(decisions[claim.token])
        if failure is not None:
            return failure
        written = await self._write(name, version, self._codec.encode(changed))
        if isinstance(written, StoredObject):
            return claim.token
        if written.kind in (OBJECT_CONFLICT, STORE_WRITE_UNKNOWN):
            # The next round reads the partition back and finds the token there
            # if the write took effect.
            return None
        return written

    async def _write(
        self, name: str, version: int, text: str
    ) -> StoredObject | Failure:
        if version == 0:
            return await self._store.create(CLAIMS_KIND, name, text, STORE_TIMEOUT_MS)
        return await self._store.update(
            CLAIMS_KIND, name, text, version, STORE_TIMEOUT_MS
        )


def _failure_of(decision: ClaimDecision) -> Failure | None:
    if decision is ClaimDecision.CLAIMED:
        return None
    if decision is ClaimDecision.HELD_BY_OTHER:
        return KEY_ALREADY_CLAIMED.because("another request claimed the key")
    if decision is ClaimDecision.EXPIRED:
        return KEY_EXPIRED.because("the key was issued before the ledger's floor")
    if decision is ClaimDecision.ISSUED_IN_FUTURE:
        return INVALID_REQUEST.because("issued_at_ms lies in the future")
    return LEDGER_FULL.because("the key's ledger partition is full")
