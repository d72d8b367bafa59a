"""Guards the order of admission, refusals and the reason that accounts give."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from chestnuthall.core.admission import (
    AdmissionQueue,
    Admit,
    Arrive,
    DemandReported,
    ExpireDue,
    FleetUseReported,
    LimitChanged,
    Reconfigured,
    Refuse,
    Release,
    ReleaseCalls,
    WakeUpDue,
    Withdraw,
)
from chestnuthall.core.model import AdmissionRule as Rule
from chestnuthall.core.model import CallerClass, QueriesAhead

FAR_MS = 1e6


def make_class(name, share=1.0, urgency=0, n_queued_max=100):
    return CallerClass(
        name=name,
        share=share,
        urgency=urgency,
        coverage_floor_ratio=0.0,
        deadline_ms=FAR_MS,
        n_queued_max=n_queued_max,
    )


CLASSES = (
    make_class("urgent", 5.0, 5),
    make_class("first", 3.0, 1),
    make_class("second", 3.0, 1),
    make_class("tiny", 1.0, 0, n_queued_max=1),
)


def arrive(name, class_name, cost=10.0, deadline_ms=FAR_MS, kind="search", now_ms=0.0):
    return Arrive(now_ms, name, class_name, kind, cost, deadline_ms)


def end(name, now_ms=0.0):
    return Release(now_ms, name, 20.0)


def run(events, limit_cost=10.0, reserved=(), classes=CLASSES):
    """Return what became of each ticket, in order."""
    queue = AdmissionQueue(classes, limit_cost, reserved)
    outcomes = []
    for event in events:
        for action in queue.handle(event):
            if isinstance(action, Admit):
                outcomes.append(f"{action.ticket} {action.account.rule.value}")
            else:
                outcomes.append(f"{action.ticket} {action.failure.kind.name}")
    return outcomes


HOLD = arrive("hold", "tiny", cost=30.0)
HELD = "hold immediate"
# Two classes that are far enough apart that only one is within its share.
APART = FleetUseReported(0.0, "first", 1e6)

ORDERS = {
    "a_free_limit_admits_at_once": ([HOLD], [HELD]),
    "earliest_deadline_first_in_a_class": (
        [
            HOLD,
            arrive("late", "first", deadline_ms=9000.0),
            arrive("early", "first", deadline_ms=8000.0),
            end("hold"),
            end("early"),
        ],
        [HELD, "early only_candidate", "late only_candidate"],
    ),
    "the_more_urgent_class_goes_first_within_its_share": (
        [
            HOLD,
            arrive("f", "first", deadline_ms=8000.0),
            arrive("u", "urgent", deadline_ms=9000.0),
            end("hold"),
            end("u"),
        ],
        [HELD, "u urgency_within_share", "f only_candidate"],
    ),
    "deadline_decides_between_classes_of_equal_urgency": (
        [
            HOLD,
            arrive("f", "first", deadline_ms=9000.0),
            arrive("s", "second", deadline_ms=8000.0),
            end("hold"),
        ],
        [HELD, "s deadline_within_share"],
    ),
    "service_on_other_instances_counts": (
        [
            HOLD,
            arrive("s", "second", deadline_ms=9000.0),
            arrive("f", "first", deadline_ms=8000.0),
            APART,
            end("hold"),
        ],
        [HELD, "s least_normalised_service"],
    ),
    "an_urgent_class_over_its_share_waits": (
        [
            HOLD,
            arrive("f", "first"),
            arrive("u", "urgent"),
            FleetUseReported(0.0, "urgent", 1e6),
            end("hold"),
        ],
        [HELD, "f least_normalised_service"],
    ),
    "an_urgent_class_that_asks_for_little_stays_within_its_share": (
        [
            HOLD,
            ReleaseCalls(0.0, "hold", 1.0, 10.0),
            arrive("f", "first"),
            arrive("u", "urgent"),
            FleetUseReported(0.0, "urgent", 1e6),
            DemandReported(0.0, "urgent", 0.1),
            end("hold"),
        ],
        [HELD, "u urgency_within_share"],
    ),
    "a_large_query_is_not_overtaken_by_small_ones": (
        [
            arrive("a", "first", cost=8.0),
            arrive("large", "second", cost=30.0, deadline_ms=8000.0),
            arrive("small", "first", cost=1.0, deadline_ms=9000.0),
            WakeUpDue(5.0),
            end("a", 10.0),
        ],
        ["a immediate", "large deadline_within_share"],
    ),
    "a_full_queue_refuses": (
        [HOLD, arrive("a", "tiny"), arrive("b", "tiny")],
        [HELD, "b QUEUE_FULL"],
    ),
    "an_unknown_class_is_refused": ([arrive("a", "nobody")], ["a UNKNOWN_CLASS"]),
    "a_passed_deadline_is_refused": (
        [HOLD, arrive("a", "first", deadline_ms=50.0), ExpireDue(50.0)],
        [HELD, "a DEADLINE_PASSED"],
    ),
    "a_deadline_that_the_queue_ahead_exceeds_is_refused_at_arrival": (
        [
            HOLD,
            ReleaseCalls(0.0, "hold", 1.0, 100.0),
            arrive("a", "first", cost=30.0, deadline_ms=500.0),
            arrive("b", "first", cost=30.0, deadline_ms=250.0),
            arrive("c", "first", cost=30.0, deadline_ms=550.0),
            arrive("d", "first", cost=30.0, deadline_ms=2000.0),
        ],
        [HELD, "c DEADLINE_UNREACHABLE"],
    ),
    "a_query_that_waited_too_long_to_end_in_time_is_not_run": (
        [
            arrive("x", "tiny"),
            end("x"),
            arrive("y", "tiny"),
            arrive("a", "first", deadline_ms=110.0),
            end("y", 100.0),
        ],
        ["x immediate", "y immediate", "a DEADLINE_UNREACHABLE"],
    ),
    "a_withdrawn_query_leaves_the_way_free": (
        [
            arrive("a", "first", cost=3.0),
            arrive("large", "first", cost=30.0, deadline_ms=8000.0),
            arrive("small", "first", cost=2.0),
            Withdraw(0.0, "large"),
        ],
        ["a immediate", "small only_candidate"],
    ),
    "queued_work_outlives_a_revision_that_drops_its_class": (
        [
            HOLD,
            arrive("f", "first"),
            Reconfigured(0.0, CLASSES[:1], ()),
            arrive("g", "first"),
            arrive("u", "urgent", cost=50.0, deadline_ms=FAR_MS),
            end("hold"),
            end("u"),
        ],
        [HELD, "g UNKNOWN_CLASS", "u urgency_within_share", "f only_candidate"],
    ),
    "running_work_counts_after_a_revision": (
        [HOLD, Reconfigured(0.0, CLASSES, ()), arrive("f", "first")],
        [HELD],
    ),
}


@pytest.mark.parametrize(("events", "expected"), ORDERS.values(), ids=ORDERS.keys())
def test_order_of_admission(events, expected):
    """Fails when a rule admits, refuses or orders otherwise than it says."""
    assert run(events) == expected


RESERVED = (("lookup", 0.2),)
LOOKUP = arrive("l", "first", cost=1.0, kind="lookup")
RESERVATIONS = {
    "the_reserved_part_is_open_while_searches_fill_the_limit": (
        [HOLD, arrive("s", "second"), LOOKUP],
        [HELD, "l reserved_room"],
    ),
    "the_reserved_part_is_bounded": (
        [
            HOLD,
            LOOKUP,
            arrive("m", "first", cost=1.0, kind="lookup"),
            arrive("n", "first", cost=1.0, kind="lookup"),
        ],
        [HELD, "l reserved_room", "m reserved_room"],
    ),
    "searches_use_the_part_while_it_is_idle": (
        [arrive("a", "first", cost=4.0), arrive("b", "first", cost=6.0)],
        ["a immediate", "b immediate"],
    ),
    "other_kinds_have_no_part": (
        [HOLD, arrive("m", "first", cost=1.0, kind="mutation")],
        [HELD],
    ),
}


@pytest.mark.parametrize(
    ("events", "expected"), RESERVATIONS.values(), ids=RESERVATIONS.keys()
)
def test_reserved_room(events, expected):
    """Fails when one kind of request can shut another one out."""
    assert run(events, reserved=RESERVED) == expected


def test_ahead_counts_only_admissions_since_the_arrival():
    """Fails when an account blames queries that were admitted before it came."""
    queue = AdmissionQueue(CLASSES, 10.0)
    events = [HOLD, arrive("a", "first"), arrive("b", "first")]
    events += [end("hold"), arrive("late", "first"), end("a"), WakeUpDue(900.0)]
    events += [end("b", 900.0)]
    accounts = {}
    for event in events:
        accounts.update({x.ticket: x.account for x in queue.handle(event)})
    ahead = {name: account.ahead for name, account in accounts.items()}
    only = QueriesAhead("first", 1, Rule.ONLY_CANDIDATE)
    assert ahead == {"hold": (), "a": (), "b": (only,), "late": (only,)}


EVENTS = st.lists(
    st.tuples(
        st.sampled_from(["arrive", "arrive", "end", "use", "limit", "wake"]),
        st.sampled_from(CLASSES),
        st.sampled_from([1.0, 10.0]),
        st.integers(0, 30),
    ),
    max_size=60,
)


def make_event(step, number, now_ms, running):
    action, caller_class, cost, value = step
    if action == "end" and running:
        return end(running[value % len(running)], now_ms)
    if action == "use":
        return FleetUseReported(now_ms, caller_class.name, value * 20.0)
    if action == "limit":
        return LimitChanged(now_ms, 5.0 + value)
    if action != "arrive":
        return WakeUpDue(now_ms)
    kind = "lookup" if cost == 1.0 else "search"
    deadline_ms = now_ms + 200.0 + value
    return arrive(f"t{number}", caller_class.name, cost, deadline_ms, kind, now_ms)


def rule_is_true(account, arrival, waiting):
    """Check a stated rule against the standings and the queries that waited."""
    standings = {item.class_name: item for item in account.standings}
    own = standings[arrival.class_name]
    others = [x for x in standings.values() if x.n_queued and x is not own]
    rivals = [x for x in others if x.is_within_share]
    least = min([x.normalised_service for x in [own, *others]])
    top = max([x.urgency for x in rivals], default=-1)
    own_head = min(a.deadline_ms for a in waiting if a.class_name == own.class_name)
    heads = [
        min(a.deadline_ms for a in waiting if a.class_name == x.class_name)
        for x in rivals
        if x.urgency == own.urgency
    ]
    is_head = arrival.deadline_ms == own_head
    checks = {
        Rule.IMMEDIATE: account.queued_ms == 0.0 and len(waiting) == 1,
        Rule.ONLY_CANDIDATE: not others and is_head,
        Rule.LEAST_NORMALISED_SERVICE: bool(others)
        and not rivals
        and own.normalised_service == least
        and is_head,
        Rule.URGENCY_WITHIN_SHARE: own.is_within_share and -1 < top < own.urgency,
        Rule.DEADLINE_WITHIN_SHARE: own.is_within_share
        and top == own.urgency
        and own_head <= min(heads, default=0.0),
        Rule.RESERVED_CAPACITY: arrival.kind == "lookup",
    }
    return checks[account.rule]


@settings(max_examples=300, deadline=None, derandomize=True)
@given(EVENTS)
def test_the_account_states_what_decided(steps):
    """Fails when an account gives another reason, or names another query."""
    queue = AdmissionQueue(CLASSES, 20.0, RESERVED)
    waiting, running, log = {}, [], []
    for number, step in enumerate(steps):
        now_ms = 7.0 * number
        event = make_event(step, number, now_ms, running)
        if isinstance(event, Release):
            running.remove(event.ticket)
        if isinstance(event, Arrive):
            waiting[event.ticket] = (event, len(waiting), len(log))
        for action in queue.handle(event):
            arrival, n_ahead, n_logged = waiting[action.ticket]
            account = action.account
            ahead = {(x.class_name, x.rule): x.n_queries for x in account.ahead}
            seen = log[n_logged:]
            assert ahead == {key: seen.count(key) for key in set(seen)}
            assert account.n_ahead_at_arrival == n_ahead
            assert account.queued_ms == now_ms - arrival.now_ms
            others = {f"t{x}" for x in range(len(steps))} - {action.ticket}
            assert not any(f"'{name}'" in repr(account) for name in others)
            if isinstance(action, Refuse):
                assert account.rule is Rule.NOT_ADMITTED
            else:
                waits = [item[0] for item in waiting.values()]
                assert rule_is_true(account, arrival, waits)
                log.append((arrival.class_name, account.rule))
                running.append(action.ticket)
            del waiting[action.ticket]
    assert set(queue.waiting) == set(waiting)
    assert set(queue.running) == set(running)
    held = sum(ticket.cost for ticket in queue.running.values())
    assert queue.capacity.running_cost == pytest.approx(held)
