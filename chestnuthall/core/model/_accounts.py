"""The account that each answer and refusal carries."""

from dataclasses import dataclass
from enum import Enum


class AdmissionRule(Enum):
    """The rule that decided when a query was admitted."""

    IMMEDIATE = "immediate"
    URGENCY_WITHIN_SHARE = "urgency_within_share"
    DEADLINE_WITHIN_SHARE = "deadline_within_share"
    LEAST_NORMALISED_SERVICE = "least_normalised_service"
    RESERVED_CAPACITY = "reserved_room"
    ONLY_CANDIDATE = "only_candidate"
    NOT_ADMITTED = "not_admitted"


@dataclass(frozen=True, slots=True)
class ClassStanding:
    """Standing of one class in a group at the moment of a decision.

    ``normalised_service`` is the service that the class received over the
    fleet, in shard calls, divided by its share.
    """

    class_name: str
    share: float
    urgency: int
    normalised_service: float
    n_queued: int
    is_within_share: bool


@dataclass(frozen=True, slots=True)
class QueriesAhead:
    """Queries that were admitted between this query's arrival and admission."""

    class_name: str
    n_queries: int
    rule: AdmissionRule


@dataclass(frozen=True, slots=True)
class AdmissionAccount:
    """Why a query was admitted, or refused, when it was."""

    rule: AdmissionRule
    queued_ms: float
    n_ahead_at_arrival: int
    standings: tuple[ClassStanding, ...] = ()
    ahead: tuple[QueriesAhead, ...] = ()


@dataclass(frozen=True, slots=True)
class FanOutAccount:
    """What the shard calls of a query did."""

    n_calls: int = 0
    n_hedges: int = 0
    n_retries: int = 0
    n_replans: int = 0
    n_discarded: int = 0
    slowest_shard_id: str = ""
    slowest_shard_ms: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Account:
    """Why a request was served, or refused, when it was.

    The wall-clock times are milliseconds since the epoch on the instance's
    clock. The account names classes only, never a caller or its query.
    """

    request_id: str
    instance: str
    zone: str
    class_name: str
    kind: str
    group: str
    arrived_wall_ms: float
    admitted_wall_ms: float | None
    finished_wall_ms: float
    deadline_in_ms: float
    admission: AdmissionAccount
    fan_out: FanOutAccount
    coverage_ratio: float
    snapshot_id: int
    configuration_revision: int
    result_code: int
    # Whether the outcome came after the latency objective of the class.
    is_late: bool = False
