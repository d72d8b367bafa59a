"""Guards the order of admission, refusals and the reasons in accounts.

The tests fail if a query is admitted, refused or ordered against the rules, or if its
account states another rule than the one that decided.
"""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from chestnuthall.core.admission import (
    AdmissionQueue,
    Admit,
    Arrive,
    DemandReported,
    ExpireDue,
    FleetUsageReported,
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
    """Return the outcome of each decided ticket, in order of decision."""
    queue = AdmissionQueue(classes, limit_cost, reserved)
    outcomes = []
    for event in events:
        for action in queue.handle(event):
            if isinstance(action, Admit):
                outcomes.append(f"{action.ticket} {action.account.rule.value}")
            else:
                outcomes.append(f"{action.ticket} {action.failure.kind.name}")
    return outcomes


# A query that exceeds the limit, so that no other is admitted until it ends.
LIMIT_HOLDER = arrive("hold", "tiny", cost=30.0)
LIMIT_HOLDER_ADMITTED = "hold immediate"
# Puts the class "first" so far ahead that only "second" is within its share.
FIRST_OVER_SHARE = FleetUsageReported(0.0, "first", 1e6)

ORDERS = {
    "free_capacity_admits_immediately": ([LIMIT_HOLDER], [LIMIT_HOLDER_ADMITTED]),
    "earliest_deadline_goes_first_within_a_class": (
        [
            LIMIT_HOLDER,
            arrive("late", "first", deadline_ms=9000.0),
            arrive("early", "first", deadline_ms=8000.0),
            end("hold"),
            end("early"),
        ],
        [LIMIT_HOLDER_ADMITTED, "early only_candidate", "late only_candidate"],
    ),
    "more_urgent_class_goes_first_within_its_share": (
        [
            LIMIT_HOLDER,
            arrive("f", "first", deadline_ms=8000.0),
            arrive("u", "urgent", deadline_ms=9000.0),
            end("hold"),
            end("u"),
        ],
        [LIMIT_HOLDER_ADMITTED, "u urgency_within_share", "f only_candidate"],
    ),
    "deadline_decides_between_classes_of_equal_urgency": (
        [
            LIMIT_HOLDER,
            arrive("f", "first", deadline_ms=9000.0),
            arrive("s", "second", deadline_ms=8000.0),
            end("hold"),
        ],
        [LIMIT_HOLDER_ADMITTED, "s deadline_within_share"],
    ),
    "service_on_other_instances_counts": (
        [
            LIMIT_HOLDER,
            arrive("s", "second", deadline_ms=9000.0),
            arrive("f", "first", deadline_ms=8000.0),
            FIRST_OVER_SHARE,
            end("hold"),
        ],
        [LIMIT_HOLDER_ADMITTED, "s least_normalised_service"],
    ),
    "urgent_class_over_its_share_waits": (
        [
            LIMIT_HOLDER,
            arrive("f", "first"),
            arrive("u", "urgent"),
            FleetUsageReported(0.0, "urgent", 1e6),
            end("hold"),
        ],
        [LIMIT_HOLDER_ADMITTED, "f least_normalised_service"],
    ),
    "urgent_class_with_low_demand_stays_within_its_share": (
        [
            LIMIT_HOLDER,
            ReleaseCalls(0.0, "hold", 1.0, 10.0),
            arrive("f", "first"),
            arrive("u", "urgent"),
            FleetUsageReported(0.0, "urgent", 1e6),
            DemandReported(0.0, "urgent", 0.1),
            end("hold"),
        ],
        [LIMIT_HOLDER_ADMITTED, "u urgency_within_share"],
    ),
    "large_query_is_not_overtaken_by_smaller_ones": (
        [
            arrive("a", "first", cost=8.0),
            arrive("large", "second", cost=30.0, deadline_ms=8000.0),
            arrive("small", "first", cost=1.0, deadline_ms=9000.0),
            WakeUpDue(5.0),
            end("a", 10.0),
        ],
        ["a immediate", "large deadline_within_share"],
    ),
    "full_queue_refuses": (
        [LIMIT_HOLDER, arrive("a", "tiny"), arrive("b", "tiny")],
        [LIMIT_HOLDER_ADMITTED, "b QUEUE_FULL"],
    ),
    "unknown_class_is_refused": ([arrive("a", "nobody")], ["a UNKNOWN_CLASS"]),
    "query_past_its_deadline_is_refused": (
        [LIMIT_HOLDER, arrive("a", "first", deadline_ms=50.0), ExpireDue(50.0)],
        [LIMIT_HOLDER_ADMITTED, "a DEADLINE_PASSED"],
    ),
    "unreachable_deadline_is_refused_at_arrival": (
        [
            LIMIT_HOLDER,
            ReleaseCalls(0.0, "hold", 1.0, 100.0),
            arrive("a", "first", cost=30.0, deadline_ms=500.0),
            arrive("b", "first", cost=30.0, deadline_ms=250.0),
            arrive("c", "first", cost=30.0, deadline_ms=550.0),
            arrive("d", "first", cost=30.0, deadline_ms=2000.0),
        ],
        [LIMIT_HOLDER_ADMITTED, "c DEADLINE_UNREACHABLE"],
    ),
    "query_that_cannot_end_in_time_after_waiting_is_refused": (
        [
            arrive("x", "tiny"),
            end("x"),
            arrive("y", "tiny"),
            arrive("a", "first", deadline_ms=110.0),
            end("y", 100.0),
        ],
        ["x immediate", "y immediate", "a DEADLINE_UNREACHABLE"],
    ),
    "withdrawn_query_unblocks_the_next_one": (
        [
            arrive("a", "first", cost=3.0),
            arrive("large", "first", cost=30.0, deadline_ms=8000.0),
            arrive("small", "first", cost=2.0),
            Withdraw(0.0, "large"),
        ],
        ["a immediate", "small only_candidate"],
    ),
    "queued_queries_outlive_a_revision_without_their_class": (
        [
            LIMIT_HOLDER,
            arrive("f", "first"),
            Reconfigured(0.0, CLASSES[:1], ()),
            arrive("g", "first"),
            arrive("u", "urgent", cost=50.0, deadline_ms=FAR_MS),
            end("hold"),
            end("u"),
        ],
        [
            LIMIT_HOLDER_ADMITTED,
            "g UNKNOWN_CLASS",
            "u urgency_within_share",
            "f only_candidate",
        ],
    ),
    "running_queries_count_after_a_revision": (
        [LIMIT_HOLDER, Reconfigured(0.0, CLASSES, ()), arrive("f", "first")],
        [LIMIT_HOLDER_ADMITTED],
    ),
}


@pytest.mark.parametrize(("events", "expected"), ORDERS.values(), ids=ORDERS.keys())
def test_order_of_admission(events, expected):
    """Fails if queries are admitted, refused or ordered against the rules."""
    assert run(events) == expected


RESERVED = (("lookup", 0.2),)
LOOKUP = arrive("l", "first", cost=1.0, kind="lookup")
RESERVATIONS = {
    "reserved_capacity_is_available_while_searches_fill_the_limit": (
        [LIMIT_HOLDER, arrive("s", "second"), LOOKUP],
        [LIMIT_HOLDER_ADMITTED, "l reserved_room"],
    ),
    "reserved_capacity_is_bounded": (
        [
            LIMIT_HOLDER,
            LOOKUP,
            arrive("m", "first", cost=1.0, kind="lookup"),
            arrive("n", "first", cost=1.0, kind="lookup"),
        ],
        [LIMIT_HOLDER_ADMITTED, "l reserved_room", "m reserved_room"],
    ),
    "searches_use_idle_reserved_capacity": (
        [arrive("a", "first", cost=4.0), arrive("b", "first", cost=6.0)],
        ["a immediate", "b immediate"],
    ),
    "other_kinds_have_no_reserved_capacity": (
        [LIMIT_HOLDER, arrive("m", "first", cost=1.0, kind="mutation")],
        [LIMIT_HOLDER_ADMITTED],
    ),
}


@pytest.mark.parametrize(
    ("events", "expected"), RESERVATIONS.values(), ids=RESERVATIONS.keys()
)
def test_reserved_capacity(events, expected):
    """Fails if one kind of request can starve another one."""
    assert run(events, reserved=RESERVED) == expected


def test_ahead_counts_only_admissions_since_arrival():
    """Fails if an account lists queries that were admitted before the arrival."""
    queue = AdmissionQueue(CLASSES, 10.0)
    events = [LIMIT_HOLDER, arrive("a", "first"), arrive("b", "first")]
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
        return FleetUsageReported(now_ms, caller_class.name, value * 20.0)
    if action == "limit":
        return LimitChanged(now_ms, 5.0 + value)
    if action != "arrive":
        return WakeUpDue(now_ms)
    kind = "lookup" if cost == 1.0 else "search"
    deadline_ms = now_ms + 200.0 + value
    return arrive(f"t{number}", caller_class.name, cost, deadline_ms, kind, now_ms)


def is_rule_correct(account, arrival, waiting):
    """Return whether the rule of an account agrees with the standings and queue."""
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
def test_account_states_the_deciding_rule(steps):
    """Fails if an account states a wrong rule or names another query."""
    queue = AdmissionQueue(CLASSES, 20.0, RESERVED)
    waiting, running, admissions = {}, [], []
    for number, step in enumerate(steps):
        now_ms = 7.0 * number
        event = make_event(step, number, now_ms, running)
        if isinstance(event, Release):
            running.remove(event.ticket)
        if isinstance(event, Arrive):
            waiting[event.ticket] = (event, len(waiting), len(admissions))
        for action in queue.handle(event):
            arrival, n_ahead, n_admissions_at_arrival = waiting[action.ticket]
            account = action.account
            ahead = {(x.class_name, x.rule): x.n_queries for x in account.ahead}
            admitted_since = admissions[n_admissions_at_arrival:]
            assert ahead == {
                key: admitted_since.count(key) for key in set(admitted_since)
            }
            assert account.n_ahead_at_arrival == n_ahead
            assert account.queued_ms == now_ms - arrival.now_ms
            others = {f"t{x}" for x in range(len(steps))} - {action.ticket}
            assert not any(f"'{name}'" in repr(account) for name in others)
            if isinstance(action, Refuse):
                assert account.rule is Rule.NOT_ADMITTED
            else:
                arrivals = [item[0] for item in waiting.values()]
                assert is_rule_correct(account, arrival, arrivals)
                admissions.append((arrival.class_name, account.rule))
                running.append(action.ticket)
            del waiting[action.ticket]
    assert set(queue.waiting) == set(waiting)
    assert set(queue.running) == set(running)
    running_cost = sum(ticket.cost for ticket in queue.running.values())
    assert queue.capacity.running_cost == pytest.approx(running_cost)
