"""Trial of two failure detectors: missed probes against phi accrual.

Run as ``python -m benchmarks.fleet.detection``. One observer watches one peer
once a second for a simulated day. The peer has pauses and its messages have
jitter and losses; the observer itself is paused now and then. Each rule is
judged by its false suspicions, and by how long it takes to suspect a crash.
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
OWN_PAUSES_PER_S = 4 / 3600
OWN_PAUSE_MAX_S = 20.0
WINDOW = 100
DEVIATION_MIN_S = 0.05
SEEDS = (1, 2, 3)
N_CRASHES = 500


@dataclass(frozen=True, slots=True)
class Pauses:
    """Disjoint pauses in order of time."""

    starts_s: tuple[float, ...]
    ends_s: tuple[float, ...]

    def resume_s(self, at_s: float) -> float:
        """Return the time itself, or the end of the pause that it falls into."""
        index = bisect_left(self.starts_s, at_s) - 1
        return max(at_s, self.ends_s[index]) if index >= 0 else at_s

    def overlaps(self, from_s: float, to_s: float) -> bool:
        """Return whether a pause touches a span of time."""
        index = bisect_left(self.starts_s, to_s) - 1
        return index >= 0 and self.ends_s[index] > from_s


@dataclass(frozen=True, slots=True)
class Trial:
    """One simulated day."""

    peer: Pauses
    own: Pauses
    random: Random


@dataclass(frozen=True, slots=True)
class Verdict:
    """What one rule did in one trial."""

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


def _own_pauses(random: Random) -> Pauses:
    starts, ends, now_s = [], [], 0.0
    while now_s < DAY_S:
        now_s += random.expovariate(OWN_PAUSES_PER_S)
        starts.append(now_s)
        now_s += random.uniform(1.0, OWN_PAUSE_MAX_S)
        ends.append(now_s)
    return Pauses(tuple(starts), tuple(ends))


def make_trial(seed: int) -> Trial:
    """Return the pauses of one day."""
    random = Random(seed)
    return Trial(_peer_pauses(random), _own_pauses(random), random)


def _delay_s(random: Random) -> float:
    return 0.002 * random.lognormvariate(0.0, 0.7)


def _summary(n_false: int, detections_s: list[float]) -> Verdict:
    ordered = sorted(detections_s)
    return Verdict(n_false, fmean(ordered), ordered[int(0.99 * (len(ordered) - 1))])


def run_missed(trial: Trial, n_missed: int, has_guard: bool, n_paths: int) -> Verdict:
    """Suspect after missed probes in a row; each goes over some paths in turn."""
    n_false, in_row = 0, 0
    for step in range(DAY_S):
        sent_s = step * INTERVAL_S
        wait_s = TIMEOUT_S * (1 if n_paths == 1 else 3)
        is_late = trial.peer.resume_s(sent_s) - sent_s > wait_s
        is_lost = all(trial.random.random() < LOSS_RATIO for _ in range(n_paths))
        is_own_pause = trial.own.overlaps(sent_s, sent_s + wait_s)
        if is_own_pause and has_guard:
            in_row = 0
            continue
        is_missed = is_late or is_lost or is_own_pause
        in_row = in_row + 1 if is_missed else 0
        n_false += in_row == n_missed
    wait_s = TIMEOUT_S * (1 if n_paths == 1 else 3)
    detections = [
        trial.random.uniform(0, INTERVAL_S) + (n_missed - 1) * INTERVAL_S + wait_s
        for _ in range(N_CRASHES)
    ]
    return _summary(n_false, detections)


def run_phi(
    trial: Trial, threshold: float, has_guard: bool, allowance_s: float = 0.0
) -> Verdict:
    """Suspect when the silence is too unlikely, given the last intervals.

    ``allowance_s`` is a pause that is accepted on top, as implementations of
    phi accrual offer it.
    """
    quantile = -NormalDist().inv_cdf(10.0**-threshold)
    window: list[float] = [INTERVAL_S] * WINDOW
    n_false, last_s, limits = 0, 0.0, []
    limit_s = INTERVAL_S * 3
    for step in range(1, DAY_S):
        if trial.random.random() < LOSS_RATIO:
            continue
        arrived_s = trial.peer.resume_s(step * INTERVAL_S) + _delay_s(trial.random)
        seen_s = max(trial.own.resume_s(arrived_s), last_s)
        gap_s = seen_s - last_s
        is_own_pause = trial.own.overlaps(last_s, seen_s)
        last_s = seen_s
        if has_guard and is_own_pause:
            continue
        n_false += gap_s > limit_s
        window[step % WINDOW] = gap_s
        if step % 10 == 0:
            deviation_s = max(DEVIATION_MIN_S, pstdev(window))
            limit_s = fmean(window) + quantile * deviation_s + allowance_s
            limits.append(limit_s)
    detections = [
        trial.random.choice(limits) - trial.random.uniform(0, INTERVAL_S)
        for _ in range(N_CRASHES)
    ]
    return _summary(n_false, detections)


RULES = {
    "missed 1, guard": lambda trial: run_missed(trial, 1, True, 1),
    "missed 1 and 2 indirect, guard": lambda trial: run_missed(trial, 1, True, 3),
    "missed 2, guard": lambda trial: run_missed(trial, 2, True, 1),
    "missed 2, no guard": lambda trial: run_missed(trial, 2, False, 1),
    "missed 3, guard": lambda trial: run_missed(trial, 3, True, 1),
    "phi 1, guard": lambda trial: run_phi(trial, 1.0, True),
    "phi 3, guard": lambda trial: run_phi(trial, 3.0, True),
    "phi 5, guard": lambda trial: run_phi(trial, 5.0, True),
    "phi 8, guard": lambda trial: run_phi(trial, 8.0, True),
    "phi 8, no guard": lambda trial: run_phi(trial, 8.0, False),
    "phi 12, guard": lambda trial: run_phi(trial, 12.0, True),
    "phi 8 and 1 s, guard": lambda trial: run_phi(trial, 8.0, True, 1.0),
    "phi 8 and 1.5 s, guard": lambda trial: run_phi(trial, 8.0, True, 1.5),
    "phi 8 and 2 s, guard": lambda trial: run_phi(trial, 8.0, True, 2.0),
}


def main() -> None:
    """Run every rule on the same days and print the means."""
    rows = []
    for name, rule in RULES.items():
        verdicts = [rule(make_trial(seed)) for seed in SEEDS]
        rows.append(
            {
                "rule": name,
                **{
                    field: round(fmean(getattr(item, field) for item in verdicts), 2)
                    for field in Verdict.__slots__
                },
            }
        )
    print(json.dumps({"detection": rows}, indent=1))


if __name__ == "__main__":
    main()
