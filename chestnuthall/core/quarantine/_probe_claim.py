"""The claim of a probe by one instance of the fleet."""

from dataclasses import dataclass

# Time in which the outcome of a probe is found out, and no other one is sent.
PROBE_CLAIM_MS = 1_500.0


@dataclass(frozen=True, slots=True, kw_only=True)
class ProbeClaim:
    """The last claim of a probe, and the wall time of its claim in milliseconds.

    Examples
    --------
    >>> claim = ProbeClaim(fingerprint="f", claimed_wall_ms=1_000.0)
    >>> claim.excludes("f", 2_000.0), claim.excludes("f", 3_000.0)
    (True, False)
    >>> claim.excludes("g", 2_000.0)
    False
    """

    fingerprint: str
    claimed_wall_ms: float

    def excludes(self, fingerprint: str, now_wall_ms: float) -> bool:
        """Return whether another probe of a request must not be sent now.

        The clocks of two instances may differ in either direction.
        """
        age_ms = abs(now_wall_ms - self.claimed_wall_ms)
        return fingerprint == self.fingerprint and age_ms < PROBE_CLAIM_MS
