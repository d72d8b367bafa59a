"""Claims probes of suspected requests by conditional writes."""

import logging
from collections.abc import Callable
from hashlib import blake2b

from chestnuthall.core.quarantine import ProbeClaim
from chestnuthall.core.results import OBJECT_CONFLICT, OBJECT_NOT_FOUND, Failure
from chestnuthall.ports import Clock, ObjectStore

_log = logging.getLogger(__name__)

PROBE_CLAIM_KIND = "probe-claims"
# Claims overwrite one another in a fixed number of objects, so that none has to be
# deleted. Two requests that share an object may both be probed twice.
N_CLAIM_OBJECTS = 64
# A caller waits for the claim.
CLAIM_TIMEOUT_MS = 200.0

ClaimReader = Callable[[str], ProbeClaim | Failure]
ClaimWriter = Callable[[ProbeClaim], str]


class ProbeClaims:
    """Lets one instance of the fleet probe a suspected request at a time.

    Each probe crashes a replica if the request does, and the replicas that it crashed
    are back for all instances at the same time. While the store does not answer, every
    probe is granted, as a harmless request would have to wait for it.
    """

    def __init__(
        self,
        store: ObjectStore,
        clock: Clock,
        read: ClaimReader,
        write: ClaimWriter,
    ) -> None:
        self._store = store
        self._clock = clock
        self._read = read
        self._write = write

    async def claim(self, fingerprint: str) -> bool:
        """Return whether this instance may probe a request now."""
        name = _object_name(fingerprint)
        stored = await self._store.get(PROBE_CLAIM_KIND, name, CLAIM_TIMEOUT_MS)
        version = 0
        if not isinstance(stored, Failure):
            version = stored.version
            last = self._read(stored.value)
            if isinstance(last, Failure):
                _log.warning(
                    "claim of a probe ignored",
                    extra={"object_name": name, "reason": last.reason},
                )
            elif last.excludes(fingerprint, self._clock.wall_ms()):
                return False
        elif stored.kind is not OBJECT_NOT_FOUND:
            return self._grant_without_store(fingerprint, stored)
        value = self._write(
            ProbeClaim(fingerprint=fingerprint, claimed_wall_ms=self._clock.wall_ms())
        )
        if version:
            written = await self._store.update(
                PROBE_CLAIM_KIND, name, value, version, CLAIM_TIMEOUT_MS
            )
        else:
            written = await self._store.create(
                PROBE_CLAIM_KIND, name, value, CLAIM_TIMEOUT_MS
            )
        if not isinstance(written, Failure):
            return True
        if written.kind in (OBJECT_CONFLICT, OBJECT_NOT_FOUND):
            return False
        return self._grant_without_store(fingerprint, written)

    def _grant_without_store(self, fingerprint: str, failure: Failure) -> bool:
        _log.warning(
            "probe granted without a claim",
            extra={"fingerprint": fingerprint, "result_code": failure.code},
        )
        return True


def _object_name(fingerprint: str) -> str:
    digest = blake2b(fingerprint.encode(), digest_size=8).digest()
    return f"{int.from_bytes(digest) % N_CLAIM_OBJECTS:02d}"
