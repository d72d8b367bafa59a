"""The limit of one group, adapted to latency and sheds."""

from dataclasses import dataclass, field

# Limit over the slots at which the shards of a search are nearly all busy: the
# calls of a search end at different times, so at the bare slots a fifth is idle.
RATIO_MAX = 2.1
RATIO_MIN = 0.3
# Latency over its calm level that this limit leads to. Above it calls only wait
# longer at the replicas, and the limit is lowered in proportion.
TARGET_INFLATION = 1.8
# Part of the way to the wanted limit that is gone in one interval: the answers
# of an interval were partly admitted under the limit before.
STEP_RATIO = 0.5
SHED_CUT_FACTOR = 0.8
SHED_RAISE_RATIO = 0.05
# Part of the replicas that must shed in one interval to cut the limit. One
# slow replica sheds alone and is the business of replica choice.
SHED_REPLICAS_RATIO = 0.34
N_SAMPLES_MIN = 8
# Below this utilisation the latency is the calm one, and follows slow changes.
CALM_UTILISATION_RATIO = 0.6
CALM_WEIGHT = 0.1


@dataclass(slots=True)
class _Interval:
    """Calls of one replica since the last adaptation."""

    n_calls: int = 0
    total_ms: float = 0.0
    n_sheds: int = 0


@dataclass(slots=True)
class AdaptiveLimit:
    """Ratio of the limit to the slots of a group.

    Each replica counts once, by its mean latency; the median over replicas is
    compared with its calm level. The ratio follows that inflation in
    proportion and keeps no sum of past errors, since instances whose calm
    levels differ by a few percent would then drift apart without bound.
    """

    ratio: float = 1.0
    calm_ms: float | None = None
    shed_factor: float = 1.0
    _has_been_calm: bool = False
    _replicas: dict[str, _Interval] = field(default_factory=dict)

    def observe_answer(self, replica_name: str, latency_ms: float) -> None:
        """Note a call that a replica answered."""
        interval = self._replicas.setdefault(replica_name, _Interval())
        interval.n_calls += 1
        interval.total_ms += latency_ms

    def observe_shed(self, replica_name: str) -> None:
        """Note a call that a replica refused before it began."""
        self._replicas.setdefault(replica_name, _Interval()).n_sheds += 1

    def adapt(self, utilisation_ratio: float) -> float:
        """Return the new ratio after one interval.

        ``utilisation_ratio`` is the average running cost of the interval as a
        part of the limit.
        """
        intervals = list(self._replicas.values())
        self._replicas = {}
        n_shedding = sum(item.n_sheds > 0 for item in intervals)
        if n_shedding > SHED_REPLICAS_RATIO * max(1, len(intervals)):
            self.shed_factor *= SHED_CUT_FACTOR
        else:
            self.shed_factor = min(1.0, self.shed_factor + SHED_RAISE_RATIO)
        if sum(item.n_calls for item in intervals) < N_SAMPLES_MIN:
            return self._approach(min(self.ratio, RATIO_MAX * self.shed_factor))
        means_ms = sorted(
            item.total_ms / item.n_calls for item in intervals if item.n_calls
        )
        median_ms = means_ms[len(means_ms) // 2]
        self._learn_calm(median_ms, utilisation_ratio)
        assert self.calm_ms is not None
        headroom = TARGET_INFLATION * self.calm_ms / median_ms
        return self._approach(RATIO_MAX * min(1.0, headroom) * self.shed_factor)

    def _approach(self, wanted_ratio: float) -> float:
        self.ratio += STEP_RATIO * (wanted_ratio - self.ratio)
        self.ratio = min(RATIO_MAX, max(RATIO_MIN, self.ratio))
        return self.ratio

    def _learn_calm(self, median_ms: float, utilisation_ratio: float) -> None:
        """Follow the latency of calm stretches.

        An instance that starts under load takes the least latency seen until
        its first calm stretch. Later ones under load are not folded in: the
        least of many noisy medians would sink far below the calm level.
        """
        is_calm = utilisation_ratio < CALM_UTILISATION_RATIO
        if self.calm_ms is None or (is_calm and not self._has_been_calm):
            self.calm_ms = median_ms
        elif is_calm:
            self.calm_ms += CALM_WEIGHT * (median_ms - self.calm_ms)
        elif not self._has_been_calm:
            self.calm_ms = min(self.calm_ms, median_ms)
        self._has_been_calm = self._has_been_calm or is_calm
