"""The account that explains the outcome and timing of a request."""

from dataclasses import dataclass
from enum import Enum


class AdmissionRule(Enum):
    """Rule by which a query was admitted, or ``NOT_ADMITTED``."""

    IMMEDIATE = "immediate"
    URGENCY_WITHIN_SHARE = "urgency_within_share"
    DEADLINE_WITHIN_SHARE = "deadline_within_share"
    LEAST_NORMALISED_SERVICE = "least_normalised_service"
    RESERVED_CAPACITY = "reserved_room"
    ONLY_CANDIDATE = "only_candidate"
    NOT_ADMITTED = "not_admitted"


@dataclass(frozen=True, slots=True)
class ClassStanding:
    """Standing of one class in a group at the time of an admission decision.

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
    """Number of queries of one class admitted while this query was queued."""

    class_name: str
    n_queries: int
    rule: AdmissionRule


@dataclass(frozen=True, slots=True)
class AdmissionAccount:
    """Explanation of the time at which a query was admitted or refused.

    ``is_return`` states that the caller had been rejected and returned at its time,
    which puts it ahead of new arrivals of its class.
    """

    rule: AdmissionRule
    queued_ms: float
    n_ahead_at_arrival: int
    standings: tuple[ClassStanding, ...] = ()
    ahead: tuple[QueriesAhead, ...] = ()
    is_return: bool = False


@dataclass(frozen=True, slots=True)
class FanOutAccount:
    """Statistics of the shard calls of a query."""

    n_calls: int = 0
    n_hedges: int = 0
    n_retries: int = 0
    n_replans: int = 0
    n_discarded: int = 0
    slowest_shard_id: str = ""
    slowest_shard_ms: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Account:
    """Explanation of the outcome of a request and of its timing.

    The wall-clock times are milliseconds since the epoch on the instance's
    clock. The account contains only the name of the class, never the caller
    or its query.
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
    # Whether the request took longer than the latency objective of its class.
    is_late: bool = False
