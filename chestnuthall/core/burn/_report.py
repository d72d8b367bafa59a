"""Burn rates of the error budget per class over several windows."""

from dataclasses import dataclass
from typing import Final

from chestnuthall.core.burn._counts import CAUSES, BurnCounts, SlotKey, Tally
from chestnuthall.core.model import EnvironmentDocument, Objective

# At 14.4 times the allowed rate, one hour uses 2% of the error budget of 30 days.
FAST_RATE: Final = 14.4
SLOW_RATE: Final = 1.0
# With fewer requests in the longer window, a single bad request would raise an
# alarm.
N_REQUESTS_FOR_ALARM: Final = 20


@dataclass(frozen=True, slots=True)
class Window:
    """A period that ends now, counted in slots of one resolution."""

    name: str
    length_ms: int
    slot_ms: int


WINDOWS: Final = (
    Window("5m", 300_000, 60_000),
    Window("1h", 3_600_000, 300_000),
    Window("6h", 21_600_000, 300_000),
    Window("3d", 259_200_000, 3_600_000),
)


@dataclass(frozen=True, slots=True)
class WindowBurn:
    """Use of the error budget in one window.

    ``rate`` is the ratio of bad requests divided by the ratio that the objective
    allows.
    """

    window: str
    n_requests: int
    n_bad: int
    n_bad_by_cause: tuple[tuple[str, int], ...]
    rate: float


@dataclass(frozen=True, slots=True)
class SeriesPoint:
    """Requests of one five-minute slot, for plots."""

    start_wall_ms: float
    n_requests: int
    n_bad: int


@dataclass(frozen=True, slots=True)
class ClassBurn:
    """Burn of one class; ``series`` covers the last six hours."""

    class_name: str
    objective: Objective
    windows: tuple[WindowBurn, ...]
    is_fast: bool
    is_slow: bool
    series: tuple[SeriesPoint, ...]


@dataclass(frozen=True, slots=True)
class BurnReport:
    """Burn of every class of an environment."""

    environment: str
    revision: int
    generated_wall_ms: float
    classes: tuple[ClassBurn, ...]

    @property
    def fast_classes(self) -> tuple[str, ...]:
        """Names of the classes with a fast-burn alarm."""
        return tuple(item.class_name for item in self.classes if item.is_fast)


def burn_report(
    environment: str,
    revision: int,
    document: EnvironmentDocument,
    counts: BurnCounts,
    now_wall_ms: float,
) -> BurnReport:
    """Return the burn of each class of a document."""
    classes = tuple(
        _class_burn(item.name, item.objective, counts, now_wall_ms)
        for item in document.classes
    )
    return BurnReport(environment, revision, now_wall_ms, classes)


def _class_burn(
    class_name: str, objective: Objective, counts: BurnCounts, now_wall_ms: float
) -> ClassBurn:
    tallies = {
        key: item
        for key, item in counts.tallies.items()
        if key.class_name == class_name
    }
    windows = tuple(_window_burn(x, tallies, objective, now_wall_ms) for x in WINDOWS)
    five_minutes, hour, six_hours, three_days = windows
    return ClassBurn(
        class_name,
        objective,
        windows,
        is_fast=_is_alarm_raised(hour, five_minutes, FAST_RATE),
        is_slow=_is_alarm_raised(three_days, six_hours, SLOW_RATE),
        series=_series(tallies, now_wall_ms),
    )


def _is_alarm_raised(longer: WindowBurn, shorter: WindowBurn, rate: float) -> bool:
    """Return whether the burn rate reaches a threshold in both windows.

    The shorter window ends the alarm soon after its cause has ended.
    """
    has_enough_requests = longer.n_requests >= N_REQUESTS_FOR_ALARM
    return has_enough_requests and longer.rate >= rate and shorter.rate >= rate


def _slots_within(
    tallies: dict[SlotKey, Tally], slot_ms: int, length_ms: int, now_wall_ms: float
) -> list[tuple[SlotKey, Tally]]:
    """Return the slots of a window without slots in the future."""
    last = int(now_wall_ms // slot_ms)
    first = int((now_wall_ms - length_ms) // slot_ms)
    return [
        (key, tally)
        for key, tally in sorted(tallies.items())
        if key.slot_ms == slot_ms and first < key.index <= last
    ]


def _window_burn(
    window: Window,
    tallies: dict[SlotKey, Tally],
    objective: Objective,
    now_wall_ms: float,
) -> WindowBurn:
    total = Tally()
    for _, tally in _slots_within(
        tallies, window.slot_ms, window.length_ms, now_wall_ms
    ):
        total = total.plus(tally)
    bad_ratio = total.n_bad_total / total.n_requests if total.n_requests else 0.0
    by_cause = zip(CAUSES, total.n_bad, strict=True)
    return WindowBurn(
        window.name,
        total.n_requests,
        total.n_bad_total,
        tuple((cause.value, n) for cause, n in by_cause if n),
        bad_ratio / (1.0 - objective.good_ratio),
    )


def _series(
    tallies: dict[SlotKey, Tally], now_wall_ms: float
) -> tuple[SeriesPoint, ...]:
    window = WINDOWS[2]
    return tuple(
        SeriesPoint(float(key.index * key.slot_ms), tally.n_requests, tally.n_bad_total)
        for key, tally in _slots_within(
            tallies, window.slot_ms, window.length_ms, now_wall_ms
        )
    )
