"""Simulation of two failure detectors: missed probes and phi accrual.

Run as ``python -m benchmarks.fleet.detection``. One observer monitors one peer once a
second for a simulated day. The peer pauses at times, and its messages have jitter and
losses; the observer itself pauses occasionally. Each detector is judged by its number
of false suspicions and by its time to suspect a crash.

A detector with a guard ignores intervals in which the observer itself was paused.
"""

import json
from bisect import bisect_left
from dataclasses import dataclass
from random import Random
from statistics import NormalDist, fmean, pstdev

DAY_S = 86_400
INTERVAL_S = 1.0
TIMEOUT_S = 0.5
LOSS_RATIO = 0.005
PEER_PAUSES_PER_S = 1 / 60
PEER_PAUSE_MEDIAN_S = 0.2
OBSERVER_PAUSES_PER_S = 4 / 3600
OBSERVER_PAUSE_MAX_S = 20.0
N_WINDOW_INTERVALS = 100
DEVIATION_MIN_S = 0.05
SEEDS = (1, 2, 3)
N_CRASHES = 500


@dataclass(frozen=True, slots=True)
class Pauses:
    """Disjoint pauses of one process, in order of time."""

    starts_s: tuple[float, ...]
    ends_s: tuple[float, ...]

    def resume_s(self, at_s: float) -> float:
        """Return the end of the pause that contains the time, or the time itself."""
        index = bisect_left(self.starts_s, at_s) - 1
        return max(at_s, self.ends_s[index]) if index >= 0 else at_s

    def overlaps(self, from_s: float, to_s: float) -> bool:
        """Return whether any pause overlaps the interval."""
        index = bisect_left(self.starts_s, to_s) - 1
        return index >= 0 and self.ends_s[index] > from_s


@dataclass(frozen=True, slots=True)
class SimulatedDay:
    """Pauses of the peer and of the observer during one simulated day."""

    peer_pauses: Pauses
    observer_pauses: Pauses
    random: Random


@dataclass(frozen=True, slots=True)
class DetectorResult:
    """False suspicions and detection times of one detector on one day."""

    n_false_per_day: float
    detection_mean_s: float
    detection_p99_s: float


def _peer_pauses(random: Random) -> Pauses:
    starts, ends, now_s = [], [], 0.0
    while now_s < DAY_S:
        now_s += random.expovariate(PEER_PAUSES_PER_S)
        starts.append(now_s)
        now_s += PEER_PAUSE_MEDIAN_S * random.lognormvariate(0.0, 1.0)
        ends.append(now_s)
    return Pauses(tuple(starts), tuple(ends))


def _observer_pauses(random: Random) -> Pauses:
    starts, ends, now_s = [], [], 0.0
    while now_s < DAY_S:
        now_s += random.expovariate(OBSERVER_PAUSES_PER_S)
        starts.append(now_s)
        now_s += random.uniform(1.0, OBSERVER_PAUSE_MAX_S)
        ends.append(now_s)
    return Pauses(tuple(starts), tuple(ends))


def simulate_day(seed: int) -> SimulatedDay:
    """Return a day with random pauses."""
    random = Random(seed)
    return SimulatedDay(_peer_pauses(random), _observer_pauses(random), random)


def _delay_s(random: Random) -> float:
    return 0.002 * random.lognormvariate(0.0, 0.7)


def _summarise(n_false: int, detections_s: list[float]) -> DetectorResult:
    ordered = sorted(detections_s)
    return DetectorResult(
        n_false, fmean(ordered), ordered[int(0.99 * (len(ordered) - 1))]
    )


def run_missed_probes(
    day: SimulatedDay, n_missed_threshold: int, has_guard: bool, n_paths: int
) -> DetectorResult:
    """Run a detector that suspects after a number of missed probes in a row.

    A probe is lost only if it is lost on each of its ``n_paths`` paths, of which
    all but the first are indirect.
    """
    n_false, n_missed_in_row = 0, 0
    for step in range(DAY_S):
        sent_s = step * INTERVAL_S
        wait_s = TIMEOUT_S * (1 if n_paths == 1 else 3)
        is_late = day.peer_pauses.resume_s(sent_s) - sent_s > wait_s
        is_lost = all(day.random.random() < LOSS_RATIO for _ in range(n_paths))
        is_observer_paused = day.observer_pauses.overlaps(sent_s, sent_s + wait_s)
        if is_observer_paused and has_guard:
            n_missed_in_row = 0
            continue
        is_missed = is_late or is_lost or is_observer_paused
        n_missed_in_row = n_missed_in_row + 1 if is_missed else 0
        n_false += n_missed_in_row == n_missed_threshold
    wait_s = TIMEOUT_S * (1 if n_paths == 1 else 3)
    detections = [
        day.random.uniform(0, INTERVAL_S)
        + (n_missed_threshold - 1) * INTERVAL_S
        + wait_s
        for _ in range(N_CRASHES)
    ]
    return _summarise(n_false, detections)


def run_phi(
    day: SimulatedDay,
    threshold: float,
    has_guard: bool,
    acceptable_pause_s: float = 0.0,
) -> DetectorResult:
    """Run a phi accrual detector over the most recent heartbeat intervals.

    ``acceptable_pause_s`` is added to the limit, as implementations of phi accrual
    allow.
    """
    quantile = -NormalDist().inv_cdf(10.0**-threshold)
    window: list[float] = [INTERVAL_S] * N_WINDOW_INTERVALS
    n_false, last_received_s, limits = 0, 0.0, []
    limit_s = INTERVAL_S * 3
    for step in range(1, DAY_S):
        if day.random.random() < LOSS_RATIO:
            continue
        arrived_s = day.peer_pauses.resume_s(step * INTERVAL_S) + _delay_s(day.random)
        received_s = max(day.observer_pauses.resume_s(arrived_s), last_received_s)
        gap_s = received_s - last_received_s
        is_observer_paused = day.observer_pauses.overlaps(last_received_s, received_s)
        last_received_s = received_s
        if has_guard and is_observer_paused:
            continue
        n_false += gap_s > limit_s
        window[step % N_WINDOW_INTERVALS] = gap_s
        if step % 10 == 0:
            deviation_s = max(DEVIATION_MIN_S, pstdev(window))
            limit_s = fmean(window) + quantile * deviation_s + acceptable_pause_s
            limits.append(limit_s)
    detections = [
        day.random.choice(limits) - day.random.uniform(0, INTERVAL_S)
        for _ in range(N_CRASHES)
    ]
    return _summarise(n_false, detections)


RULES = {
    "missed 1, guard": lambda day: run_missed_probes(day, 1, True, 1),
    "missed 1 and 2 indirect, guard": lambda day: run_missed_probes(day, 1, True, 3),
    "missed 2, guard": lambda day: run_missed_probes(day, 2, True, 1),
    "missed 2, no guard": lambda day: run_missed_probes(day, 2, False, 1),
    "missed 3, guard": lambda day: run_missed_probes(day, 3, True, 1),
    "phi 1, guard": lambda day: run_phi(day, 1.0, True),
    "phi 3, guard": lambda day: run_phi(day, 3.0, True),
    "phi 5, guard": lambda day: run_phi(day, 5.0, True),
    "phi 8, guard": lambda day: run_phi(day, 8.0, True),
    "phi 8, no guard": lambda day: run_phi(day, 8.0, False),
    "phi 12, guard": lambda day: run_phi(day, 12.0, True),
    "phi 8 and 1 s, guard": lambda day: run_phi(day, 8.0, True, 1.0),
    "phi 8 and 1.5 s, guard": lambda day: run_phi(day, 8.0, True, 1.5),
    "phi 8 and 2 s, guard": lambda day: run_phi(day, 8.0, True, 2.0),
}


def main() -> None:
    """Run every detector on the same days and print the means."""
    rows = []
    for name, rule in RULES.items():
        results = [rule(simulate_day(seed)) for seed in SEEDS]
        rows.append(
            {
                "rule": name,
                **{
                    field: round(fmean(getattr(item, field) for item in results), 2)
                    for field in DetectorResult.__slots__
                },
            }
        )
    print(json.dumps({"detection": rows}, indent=1))


if __name__ == "__main__":
    main()
