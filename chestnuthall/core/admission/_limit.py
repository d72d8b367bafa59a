"""Adaptation of the limit of one group to latency and load shedding."""

from dataclasses import dataclass, field

# Largest ratio of the limit to the slots of a group. The calls of a search end at
# different times, so with a limit equal to the slots a fifth of them is idle; at
# this ratio nearly all shards are busy.
RATIO_MAX = 2.1
RATIO_MIN = 0.3
# Ratio up to which calls do not wait at the replicas, if the quotas of all instances
# add up to the slots. A high latency then means that the replicas are slow, and fewer
# calls would only leave slots idle.
RATIO_UNQUEUED = 1.0
# Ratio of the latency to its baseline that is expected at ``RATIO_MAX``. Beyond
# it calls only wait longer at the replicas, and the limit is lowered in proportion.
TARGET_INFLATION = 1.8
# Fraction of the distance to the target that is covered in one interval, since
# some calls answered in an interval were admitted under the previous limit.
STEP_RATIO = 0.5
SHED_DECREASE_FACTOR = 0.8
SHED_INCREASE_RATIO = 0.05
# Fraction of the replicas that must shed load in one interval to lower the limit.
# A single slow replica that sheds is handled by replica choice.
SHED_REPLICAS_RATIO = 0.34
N_SAMPLES_MIN = 8
# Below this utilisation the latency updates the baseline, which follows slow changes.
BASELINE_UTILISATION_RATIO = 0.6
BASELINE_WEIGHT = 0.1


@dataclass(slots=True)
class _Interval:
    """Calls of one replica since the last adaptation."""

    n_calls: int = 0
    total_ms: float = 0.0
    n_sheds: int = 0


@dataclass(slots=True)
class AdaptiveLimit:
    """Ratio of the limit to the slots of a group.

    Answers a step or wave of load that queues at the replicas, and a group whose
    replicas are all slow.

    Each replica counts once, by its mean latency; the median over replicas is
    compared with its baseline at low load. The ratio is a proportional function of
    this inflation, without an integral term: with one, instances whose baselines
    differ by a few percent would drift apart without bound.
    """

    ratio: float = 1.0
    unqueued_ratio: float = RATIO_UNQUEUED
    baseline_ms: float | None = None
    shed_factor: float = 1.0
    _has_low_load_baseline: bool = False
    _replicas: dict[str, _Interval] = field(default_factory=dict)

    def observe_answer(self, replica_name: str, latency_ms: float) -> None:
        """Record a call that a replica answered."""
        interval = self._replicas.setdefault(replica_name, _Interval())
        interval.n_calls += 1
        interval.total_ms += latency_ms

    def observe_shed(self, replica_name: str) -> None:
        """Record a call that a replica shed before starting it."""
        self._replicas.setdefault(replica_name, _Interval()).n_sheds += 1

    def adapt(self, utilisation_ratio: float) -> float:
        """Return the new ratio after one interval.

        ``utilisation_ratio`` is the average running cost of the interval as a
        fraction of the limit.
        """
        intervals = list(self._replicas.values())
        self._replicas = {}
        n_shedding = sum(item.n_sheds > 0 for item in intervals)
        if n_shedding > SHED_REPLICAS_RATIO * max(1, len(intervals)):
            self.shed_factor *= SHED_DECREASE_FACTOR
        else:
            self.shed_factor = min(1.0, self.shed_factor + SHED_INCREASE_RATIO)
        if sum(item.n_calls for item in intervals) < N_SAMPLES_MIN:
            return self._move_towards(min(self.ratio, RATIO_MAX * self.shed_factor))
        means_ms = sorted(
            item.total_ms / item.n_calls for item in intervals if item.n_calls
        )
        median_ms = means_ms[len(means_ms) // 2]
        self._update_baseline(median_ms, utilisation_ratio)
        assert self.baseline_ms is not None
        headroom = TARGET_INFLATION * self.baseline_ms / median_ms
        ratio = max(self.unqueued_ratio, RATIO_MAX * min(1.0, headroom))
        return self._move_towards(ratio * self.shed_factor)

    def _move_towards(self, target_ratio: float) -> float:
        self.ratio += STEP_RATIO * (target_ratio - self.ratio)
        self.ratio = min(RATIO_MAX, max(RATIO_MIN, self.ratio))
        return self.ratio

    def _update_baseline(self, median_ms: float, utilisation_ratio: float) -> None:
        """Update the baseline latency from intervals of low utilisation.

        An instance that starts under load uses the lowest median seen until its
        first interval of low utilisation. Afterwards intervals under load are
        ignored: the minimum of many noisy medians would fall far below the
        latency at low load.
        """
        is_lightly_loaded = utilisation_ratio < BASELINE_UTILISATION_RATIO
        if self.baseline_ms is None or (
            is_lightly_loaded and not self._has_low_load_baseline
        ):
            self.baseline_ms = median_ms
        elif is_lightly_loaded:
            self.baseline_ms += BASELINE_WEIGHT * (median_ms - self.baseline_ms)
        elif not self._has_low_load_baseline:
            self.baseline_ms = min(self.baseline_ms, median_ms)
        self._has_low_load_baseline = self._has_low_load_baseline or is_lightly_loaded
