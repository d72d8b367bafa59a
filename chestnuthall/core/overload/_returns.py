"""Times at which rejected callers should return, spread over the capacity."""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass
from math import isqrt

from chestnuthall.core.model import ReturnAdvice

# Fraction of its remaining time that a caller waits at most before it returns.
WAIT_RATIO_MAX = 1.0 / 3.0
# A caller that returns later than this after its time is a new arrival again. A caller
# may have to open a connection first.
SLOT_LAPSE_MS = 1_000.0
# Fraction of its wait by which a caller may differ from a slot. A caller that another
# instance rejected has waited for the backlog there.
SLOT_TOLERANCE_RATIO = 1.0 / 3.0
SLOT_TOLERANCE_MIN_MS = 20.0
# Bound of the slots of one class; the oldest one is removed first.
N_SLOTS_MAX = 1_024


@dataclass(frozen=True, slots=True, kw_only=True)
class Rejection:
    """A rejected request, as far as it determines when its caller should return.

    ``drain_ms`` is the time until the work ahead is done, or until what is missing is
    expected to be available. ``gap_ms`` is the time between the starts of two such
    requests while there is a backlog, and ``remaining_ms`` the time that the caller
    has left.
    """

    class_name: str
    cost: float
    drain_ms: float
    gap_ms: float
    remaining_ms: float


@dataclass(slots=True)
class _Slot:
    """A booked return; an additional one is not backed by a booking here."""

    at_ms: float
    cost: float
    remaining_ms: float
    wait_ms: float
    is_used: bool = False
    is_additional: bool = False

    @property
    def tolerance_ms(self) -> float:
        return max(SLOT_TOLERANCE_MIN_MS, SLOT_TOLERANCE_RATIO * self.wait_ms)

    def matches(self, remaining_ms: float, now_ms: float) -> bool:
        """Return whether it is due and its caller would have that much time left."""
        is_due = self.at_ms <= now_ms + self.tolerance_ms
        return is_due and remaining_ms <= self.remaining_ms + self.tolerance_ms


class ReturnSchedule:
    """Books a time for each rejected request and recognises callers that return.

    Answers a step or burst of load, and callers that repeat at once: if all callers
    that are rejected in one moment returned in one moment, the returns would be
    another burst. The slots of a class are one service time apart, beginning when the
    backlog has drained.

    A return arrives at any instance, without a mark that a caller could forge. Each
    instance assumes that about as many callers return to it as it has rejected. A
    request counts as a return if a slot of its class is due here and if it has no more
    time left than the caller that the slot was booked for. Since a balancer
    distributes the returns at random, their number at an instance differs from the
    bookings by about the square root, and so many more are accepted. So the number of
    returns is bounded by the number of rejections, an early caller gains nothing, and
    a caller that states less time than it has is given less time.

    Examples
    --------
    >>> schedule = ReturnSchedule()
    >>> rejection = Rejection(
    ...     class_name="c", cost=1.0, drain_ms=50.0, gap_ms=10.0, remaining_ms=600.0
    ... )
    >>> [schedule.book(rejection, 0.0).retry_after_ms for _ in range(3)]
    [50.0, 60.0, 70.0]
    >>> schedule.redeem("c", remaining_ms=590.0, now_ms=10.0)
    False
    >>> schedule.redeem("c", remaining_ms=550.0, now_ms=50.0)
    True
    """

    def __init__(self) -> None:
        self._slots: dict[str, deque[_Slot]] = {}
        self._next_ms: dict[str, float] = {}

    def book(self, rejection: Rejection, now_ms: float) -> ReturnAdvice:
        """Book the next slot, unless the caller's time is over by then."""
        name = rejection.class_name
        at_ms = max(now_ms + rejection.drain_ms, self._next_ms.get(name, now_ms))
        retry_after_ms = at_ms - now_ms
        is_booked = retry_after_ms <= WAIT_RATIO_MAX * rejection.remaining_ms
        if is_booked:
            slots = self._slots.setdefault(name, deque(maxlen=N_SLOTS_MAX))
            remaining_ms = rejection.remaining_ms - retry_after_ms
            slots.append(_Slot(at_ms, rejection.cost, remaining_ms, retry_after_ms))
            self._next_ms[name] = at_ms + rejection.gap_ms
        return ReturnAdvice(retry_after_ms, rejection.drain_ms, is_booked)

    def redeem(self, class_name: str, remaining_ms: float, now_ms: float) -> bool:
        """Use up a due slot for a request; return whether there was one."""
        due = [
            slot
            for slot in self._retained(class_name, now_ms)
            if slot.matches(remaining_ms, now_ms)
        ]
        unused = next((slot for slot in due if not slot.is_used), None)
        if unused is not None:
            unused.is_used = True
            return True
        n_additional = sum(slot.is_additional for slot in due)
        n_booked = len(due) - n_additional
        if n_additional >= isqrt(max(0, n_booked - 1)):
            return False
        last = due[-1]
        self._slots[class_name].append(
            _Slot(last.at_ms, last.cost, last.remaining_ms, last.wait_ms, True, True)
        )
        return True

    def booked_cost(self, class_name: str, until_ms: float, now_ms: float) -> float:
        """Return the cost of the returns that are expected until a time."""
        return sum(
            slot.cost
            for slot in self._retained(class_name, now_ms)
            if slot.at_ms <= until_ms and not slot.is_used
        )

    def retain(self, class_names: frozenset[str]) -> None:
        """Remove the slots of classes that are no longer configured."""
        for name in self._slots.keys() - class_names:
            del self._slots[name]
        for name in self._next_ms.keys() - class_names:
            del self._next_ms[name]

    def _retained(self, class_name: str, now_ms: float) -> Iterator[_Slot]:
        """Remove the slots that have lapsed and yield the others."""
        slots = self._slots.get(class_name)
        if slots is None:
            return
        while slots and slots[0].at_ms < now_ms - SLOT_LAPSE_MS:
            slots.popleft()
        yield from slots
