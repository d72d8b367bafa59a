"""Sizes of the two modelled deployments, their documents and partition maps."""

from dataclasses import dataclass

from chestnuthall.core.model import (
    CallerClass,
    EnvironmentDocument,
    KeyRange,
    Objective,
    PartitionMap,
    Replica,
    Shard,
    UpstreamGroup,
)

N_DOCUMENTS_PER_SHARD = 1000


@dataclass(frozen=True, slots=True)
class GroupSize:
    """Size of one upstream group, and the limit and cost of its connections."""

    name: str
    n_shards: int
    n_replicas: int
    n_slots: int
    n_connections_max: int
    connect_cost_ms: float


@dataclass(frozen=True, slots=True)
class Deployment:
    """Modelled deployment of one user; delays are one-way."""

    name: str
    zones: tuple[str, ...]
    zone_delay_ms: float
    caller_delay_ms: float
    groups: tuple[GroupSize, ...]
    n_instances: int = 9

    def group(self, name: str) -> GroupSize:
        """Return the group with the given name."""
        return next(group for group in self.groups if group.name == name)


DERWENT = Deployment(
    "derwent",
    ("hobart", "launceston", "devonport", "burnie"),
    0.5,
    3.0,
    (
        GroupSize("planner-desk", 10, 3, 3, 30, 6.0),
        GroupSize("crew-roster", 15, 3, 3, 30, 6.0),
        GroupSize("booking-ledger", 1, 8, 4, 110, 1.0),
        GroupSize("notice-feed", 1, 4, 4, 110, 1.0),
    ),
)

HUNDEMARKE = Deployment(
    "hundemarke",
    ("wien-1", "wien-2", "st-poelten"),
    1.0,
    1.0,
    (
        GroupSize("schalter", 10, 3, 3, 30, 6.0),
        GroupSize("zahlung", 15, 3, 3, 30, 6.0),
        GroupSize("tierarzt", 1, 11, 2, 35, 1.0),
        GroupSize("buergerportal", 1, 6, 2, 35, 1.0),
    ),
)

DEPLOYMENTS = (DERWENT, HUNDEMARKE)


def make_partition_map(
    deployment: Deployment, size: GroupSize, snapshot_id: int = 1
) -> PartitionMap:
    """Return the partition map of a group, with replicas distributed over the zones."""
    zones = deployment.zones
    shards = []
    for index in range(size.n_shards):
        replicas = tuple(
            Replica(
                f"{size.name}-{index:02d}-{number}",
                f"{size.name}-{index:02d}-{number}",
                zones[(index + number) % len(zones)],
            )
            for number in range(size.n_replicas)
        )
        start = "" if index == 0 else f"{index:02d}"
        end = "" if index == size.n_shards - 1 else f"{index + 1:02d}"
        shards.append(
            Shard(
                f"s{index:02d}",
                KeyRange(start, end),
                N_DOCUMENTS_PER_SHARD,
                replicas,
            )
        )
    return PartitionMap(size.name, snapshot_id, tuple(shards))


def make_document(deployment: Deployment) -> EnvironmentDocument:
    """Return the environment document of a deployment."""
    classes = (
        CallerClass(
            name="urgent",
            share=5.0,
            urgency=5,
            coverage_floor_ratio=0.95,
            deadline_ms=1000.0,
            objective=Objective(200.0, 0.99),
        ),
        CallerClass(
            name="ordinary",
            share=3.0,
            urgency=2,
            coverage_floor_ratio=0.9,
            deadline_ms=2000.0,
        ),
        CallerClass(
            name="bulk",
            share=2.0,
            urgency=0,
            coverage_floor_ratio=0.5,
            deadline_ms=4000.0,
        ),
    )
    groups = tuple(
        UpstreamGroup(
            name=size.name,
            n_slots=size.n_slots,
            n_connections_max=size.n_connections_max,
            connect_cost_ms=size.connect_cost_ms,
        )
        for size in deployment.groups
    )
    return EnvironmentDocument(classes=classes, groups=groups)
