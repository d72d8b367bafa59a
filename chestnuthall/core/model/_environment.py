"""Data classes of the environment document."""

from dataclasses import dataclass, field

from chestnuthall.core.model._routes import RouteTable


@dataclass(frozen=True, slots=True)
class Objective:
    """Service-level objective of a class.

    At least the ratio ``good_ratio`` of the requests is to succeed within
    ``latency_ms``.
    """

    latency_ms: float
    good_ratio: float


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerClass:
    """A class of callers with its share, limits and objective.

    ``share`` is a weight relative to the other classes. Among the classes that
    are within their share, the one with the highest ``urgency`` is served
    first. After ``soft_deadline_ms``, an answer at or above the coverage floor
    is returned without waiting for stragglers.
    """

    name: str
    share: float
    urgency: int
    coverage_floor_ratio: float
    deadline_ms: float
    soft_deadline_ms: float | None = None
    n_queued_max: int = 256
    objective: Objective = field(default_factory=lambda: Objective(1000.0, 0.99))


@dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamGroup:
    """A group of upstreams that serve one index.

    ``n_slots`` and ``n_connections_max`` are per replica.
    ``reserved_ratios`` maps a kind of request to the fraction of the group's
    limit that other kinds may use only while it is idle. ``shard_ids`` names the
    shards if the configuration defines them instead of a partition map.
    """

    name: str
    n_slots: int
    n_connections_max: int
    connect_cost_ms: float
    reserved_ratios: tuple[tuple[str, float], ...] = ()
    shard_ids: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class ExtraLoadPolicy:
    """Budget for hedges and retries, as a fraction of all shard calls.

    The budget decreases linearly from ``max_ratio`` at the utilisation
    ``full_below_ratio`` to zero at ``none_above_ratio``.
    """

    max_ratio: float = 0.03
    full_below_ratio: float = 0.70
    none_above_ratio: float = 0.95


@dataclass(frozen=True, slots=True, kw_only=True)
class EnvironmentDocument:
    """Settings that operators define for one environment."""

    classes: tuple[CallerClass, ...]
    groups: tuple[UpstreamGroup, ...]
    extra_load: ExtraLoadPolicy = field(default_factory=ExtraLoadPolicy)
    routes: RouteTable = field(default_factory=RouteTable)

    def find_class(self, name: str) -> CallerClass | None:
        """Return the class with a name, or None if there is none."""
        return next((item for item in self.classes if item.name == name), None)

    def find_group(self, name: str) -> UpstreamGroup | None:
        """Return the upstream group with a name, or None if there is none."""
        return next((item for item in self.groups if item.name == name), None)


@dataclass(frozen=True, slots=True, kw_only=True)
class Configuration:
    """An accepted environment document with its identity.

    ``digest`` is the SHA-256 of ``text`` in hexadecimal. ``revision`` increases
    by one with each accepted change of the environment. ``stored_text`` is the
    complete value of the object in the store, which peers forward unchanged.
    """

    environment: str
    revision: int
    digest: str
    text: str
    document: EnvironmentDocument
    stored_text: str = ""
