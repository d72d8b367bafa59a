"""Routing of relayed requests by host and path prefix."""

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Target:
    """An upstream group that a route sends requests to, with its weight."""

    group: str
    weight: float = 1.0


@dataclass(frozen=True, slots=True)
class MergeRule:
    """Limits for merging the answers of several shards into one."""

    n_records_max: int
    n_record_bytes: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """Handling of the requests for one host and path prefix.

    ``merge`` is None if a single replica answers. The requests of a route with
    several targets are distributed in proportion to their weights.
    """

    name: str
    host: str
    path_prefix: str
    class_name: str
    targets: tuple[Target, ...]
    timeout_ms: float
    n_replicas_max: int
    is_repeatable: bool
    merge: MergeRule | None = None


@dataclass(frozen=True, slots=True)
class RouteTable:
    """Finds the route with the longest matching path prefix.

    Prefixes begin and end with a slash, so that only complete path segments
    match.

    Examples
    --------
    >>> def make(prefix):
    ...     return Route(name=prefix, host="h", path_prefix=prefix, class_name="c",
    ...                  targets=(), timeout_ms=1.0, n_replicas_max=1,
    ...                  is_repeatable=True)
    >>> table = RouteTable((make("/a/"), make("/a/b/")))
    >>> table.match("h", "/a/b/c").name, table.match("h", "/a/bc").name
    ('/a/b/', '/a/')
    >>> table.match("h", "/b/") is None
    True
    """

    routes: tuple[Route, ...] = ()
    _by_host: dict[str, dict[str, Route]] = field(
        init=False, repr=False, compare=False, default_factory=dict
    )

    def __post_init__(self) -> None:
        for route in self.routes:
            by_prefix = self._by_host.setdefault(route.host, {})
            by_prefix[route.path_prefix] = route

    def match(self, host: str, path: str) -> Route | None:
        """Return the route for a host and path, or None if none matches."""
        by_prefix = self._by_host.get(host)
        if by_prefix is None:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = by_prefix.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None


class WeightedRoundRobin:
    """Distributes requests over targets in proportion to their weights.

    The algorithm is smooth weighted round robin: for each request, every target
    is credited with its weight, and the target with the most credit is chosen and
    debited the sum of the weights.

    Examples
    --------
    >>> split = WeightedRoundRobin((Target("a", 3.0), Target("b", 1.0)))
    >>> [split.next().group for _ in range(4)]
    ['a', 'a', 'b', 'a']
    """

    def __init__(self, targets: tuple[Target, ...]) -> None:
        self.targets = targets
        self._total_weight = sum(target.weight for target in targets)
        self._credits = [0.0] * len(targets)

    def next(self) -> Target:
        """Return the target for the next request."""
        if len(self.targets) == 1:
            return self.targets[0]
        for index, target in enumerate(self.targets):
            self._credits[index] += target.weight
        chosen = max(range(len(self.targets)), key=self._credits.__getitem__)
        self._credits[chosen] -= self._total_weight
        return self.targets[chosen]
