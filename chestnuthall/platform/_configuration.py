"""Decoding of the operator's configuration into routes, classes and groups."""

from collections.abc import Iterable
from dataclasses import dataclass
from hashlib import blake2b, sha256

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from chestnuthall.core.model import (
    CallerClass,
    Configuration,
    EnvironmentDocument,
    MergeRule,
    Objective,
    Route,
    RouteTable,
    Target,
    UpstreamGroup,
)
from chestnuthall.core.results import CONFIGURATION_REJECTED, Failure
from chestnuthall.platform._dialect import SINGLETON_NAME

# Size of one record in a shard's answer, defined by the platform.
N_RECORD_BYTES = 16
# Slots assumed for a replica until its registration states them.
N_SLOTS_DEFAULT = 1
# The objective is measured at the caller. The reserve covers the network round trip
# to the caller and a new connection; the time to complete an answer is measured.
OBJECTIVE_RESERVE_RATIO = 0.08
OBJECTIVE_RESERVE_MIN_MS = 16.0
OBJECTIVE_GOOD_RATIO = 0.99
# Urgency of the platform's rank 0, its highest.
URGENCY_MAX = 100


class _Model(BaseModel):
    model_config = ConfigDict(extra="ignore", frozen=True)


class _Split(_Model):
    service: str = Field(alias="Service")
    weight: float = Field(alias="Weight")


class _Route(_Model):
    name: str = Field(alias="Name")
    host: str = Field(alias="Hostname")
    path_prefix: str = Field(alias="PathPrefix")
    kind: str = Field(alias="Kind")
    # Time-out of a request, in addition to the caller's deadline.
    timeout_ms: float = Field(alias="TimeoutMs")
    objective_ms: float = Field(alias="TargetLatencyMs", default=0.0)
    # Rank; 0 is the highest.
    rank: int = Field(alias="Priority", default=0)
    service: str | None = Field(alias="Service", default=None)
    split: tuple[_Split, ...] | None = Field(alias="TrafficSplit", default=None)
    # Services each of which is one shard of an index.
    shards: tuple[str, ...] | None = Field(alias="Gather", default=None)
    # Number of replicas per shard that one request may be sent to.
    n_replicas_max: int = Field(alias="MaxAttempts", default=1)
    n_records_max: int = Field(alias="TopK", default=0)
    coverage_floor_ratio: float = Field(alias="MinShardShare", default=1.0)


class _Service(_Model):
    name: str = Field(alias="Name")
    # Connections that a replica accepts from all callers together.
    n_connections_max: int = Field(alias="MaxConns")


class _Limits(_Model):
    n_header_bytes_max: int = Field(alias="MaxHeaderBytes", default=16_384)
    n_body_bytes_max: int = Field(alias="MaxBodyBytes", default=262_144)
    header_timeout_ms: float = Field(alias="HeaderTimeoutMs", default=3_000.0)
    idle_timeout_ms: float = Field(alias="IdleTimeoutMs", default=15_000.0)


class _Document(_Model):
    version: int = Field(alias="Version")
    routes: tuple[_Route, ...] = Field(alias="Routes", default=())
    services: tuple[_Service, ...] = Field(alias="Services", default=())
    limits: _Limits = Field(alias="Limits", default_factory=_Limits)


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerLimits:
    """Limits of a caller's requests and connections."""

    n_header_bytes_max: int
    n_body_bytes_max: int
    header_timeout_ms: float
    idle_timeout_ms: float


def read_configuration(text: str) -> Configuration | Failure:
    """Decode the operator's document; return a failure if it is invalid."""
    try:
        document = _Document.model_validate_json(text)
    except ValidationError as error:
        first = error.errors()[0]
        location = ".".join(str(item) for item in first["loc"])
        return CONFIGURATION_REJECTED.with_reason(f"{location}: {first['msg']}")
    return Configuration(
        environment=SINGLETON_NAME,
        revision=document.version,
        digest=sha256(text.encode()).hexdigest(),
        text=text,
        document=EnvironmentDocument(
            classes=tuple(_caller_classes(document.routes)),
            groups=tuple(_upstream_groups(document)),
            routes=RouteTable(tuple(map(_to_route, document.routes))),
        ),
        stored_text=text,
    )


def read_limits(text: str) -> CallerLimits:
    """Return the limits of a document that ``read_configuration`` accepted."""
    limits = _Document.model_validate_json(text).limits
    return CallerLimits(
        n_header_bytes_max=limits.n_header_bytes_max,
        n_body_bytes_max=limits.n_body_bytes_max,
        header_timeout_ms=limits.header_timeout_ms,
        idle_timeout_ms=limits.idle_timeout_ms,
    )


def _class_name(route: _Route) -> str:
    """Return the name of the class of all routes with the same guarantees."""
    kind = "forward" if route.shards is None else "scatter"
    floor = f"-{route.coverage_floor_ratio:g}" if route.shards else ""
    return f"{kind}-{route.rank}-{route.objective_ms:g}ms{floor}"


def _caller_classes(routes: Iterable[_Route]) -> Iterable[CallerClass]:
    by_name: dict[str, list[_Route]] = {}
    for route in routes:
        by_name.setdefault(_class_name(route), []).append(route)
    for name, class_routes in by_name.items():
        route = class_routes[0]
        deadline_ms = max(item.timeout_ms for item in class_routes)
        objective_ms = route.objective_ms or deadline_ms
        reserve_ms = max(
            OBJECTIVE_RESERVE_MIN_MS, OBJECTIVE_RESERVE_RATIO * objective_ms
        )
        yield CallerClass(
            name=name,
            share=1.0,
            urgency=URGENCY_MAX - route.rank,
            coverage_floor_ratio=1.0
            if route.shards is None
            else route.coverage_floor_ratio,
            deadline_ms=deadline_ms,
            soft_deadline_ms=max(objective_ms / 2.0, objective_ms - reserve_ms),
            objective=Objective(objective_ms, OBJECTIVE_GOOD_RATIO),
        )


def _scatter_group_name(shards: tuple[str, ...]) -> str:
    """Return the name of a group of shards, which is the same in every revision."""
    digest = blake2b("\0".join(sorted(shards)).encode(), digest_size=6)
    return f"shards-{digest.hexdigest()}"


def _upstream_groups(document: _Document) -> Iterable[UpstreamGroup]:
    max_connections_by_service = {
        item.name: item.n_connections_max for item in document.services
    }
    for name, max_connections in max_connections_by_service.items():
        yield _upstream_group(name, (name,), max_connections)
    for shards in {route.shards for route in document.routes if route.shards}:
        max_connections = min(
            (
                max_connections_by_service[shard]
                for shard in shards
                if shard in max_connections_by_service
            ),
            default=1,
        )
        yield _upstream_group(_scatter_group_name(shards), shards, max_connections)


def _upstream_group(
    name: str, shard_ids: tuple[str, ...], max_connections: int
) -> UpstreamGroup:
    return UpstreamGroup(
        name=name,
        n_slots=N_SLOTS_DEFAULT,
        n_connections_max=max_connections,
        connect_cost_ms=0.0,
        shard_ids=tuple(dict.fromkeys(shard_ids)),
    )


def _to_route(route: _Route) -> Route:
    merge = None
    if route.shards is not None:
        merge = MergeRule(route.n_records_max, N_RECORD_BYTES)
    return Route(
        name=route.name,
        host=route.host.lower(),
        path_prefix=route.path_prefix,
        class_name=_class_name(route),
        targets=tuple(_targets(route)),
        timeout_ms=route.timeout_ms,
        n_replicas_max=max(1, route.n_replicas_max),
        is_repeatable=route.kind == "idempotent",
        merge=merge,
    )


def _targets(route: _Route) -> Iterable[Target]:
    if route.shards is not None:
        yield Target(_scatter_group_name(route.shards))
    elif route.split:
        for entry in route.split:
            yield Target(entry.service, entry.weight)
    elif route.service is not None:
        yield Target(route.service)
