"""Failures as values, each with a sentinel for its kind and a reason."""

from dataclasses import dataclass
from typing import Final

from chestnuthall.core.results._codes import ResultCode, RetryAdvice, RunState


@dataclass(frozen=True, slots=True, eq=False)
class FailureKind:
    """Sentinel for one kind of failure, compared with ``is``.

    ``run`` and ``repeat`` describe the whole request when this kind is its final
    result. ``http_status`` is the HTTP status code sent to the caller.
    """

    code: ResultCode
    http_status: int
    run: RunState
    repeat: RetryAdvice
    summary: str

    @property
    def name(self) -> str:
        """Name of the kind, equal to the name of its result code."""
        return self.code.name

    def with_reason(self, reason: str) -> "Failure":
        """Return a failure of this kind with the given reason.

        Examples
        --------
        >>> from chestnuthall.core.results import QUEUE_FULL
        >>> failure = QUEUE_FULL.with_reason("class clerk has 64 queries queued")
        >>> failure.kind is QUEUE_FULL
        True
        """
        return Failure(self, reason)


@dataclass(frozen=True, slots=True)
class Failure:
    """An expected failure, returned in place of a result."""

    kind: FailureKind
    reason: str

    @property
    def code(self) -> ResultCode:
        """Result code of the failure's kind."""
        return self.kind.code


FAILURE_KINDS: Final[dict[ResultCode, FailureKind]] = {}


def define_failure_kind(
    code: ResultCode,
    http_status: int,
    run: RunState,
    repeat: RetryAdvice,
    summary: str,
) -> FailureKind:
    """Create the sentinel of a result code and register it in ``FAILURE_KINDS``."""
    if code in FAILURE_KINDS:
        raise ValueError(f"result code {code.name} is defined twice")
    kind = FailureKind(code, http_status, run, repeat, summary)
    FAILURE_KINDS[code] = kind
    return kind


def failure_kind_from_code(code: int) -> FailureKind | None:
    """Return the sentinel of a result code, or None for an unknown number."""
    try:
        return FAILURE_KINDS.get(ResultCode(code))
    except ValueError:
        return None
