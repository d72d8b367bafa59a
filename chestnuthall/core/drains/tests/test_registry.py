"""Tests of the expiry, order and number of drain notices.

They guard against drains that echoes between instances keep active, and against
outdated observations that end a drain.
"""

import hypothesis.strategies as st
import pytest
from hypothesis import settings
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from chestnuthall.core.drains import (
    DisseminateNotices,
    DrainDetected,
    DrainEndDetected,
    DrainRegistry,
    DrainSettings,
    DrainSignal,
    NoticesReceived,
    ResumeCalls,
    StopCalls,
)

N_INSTANCES = 3
DELAY_MAX_MS = 500.0
LIFETIME_MS = 30_000.0
REPLICAS = ("r0", "r1")
HEALTH, LIST = DrainSignal.HEALTH, DrainSignal.LIST
instances = st.integers(0, N_INSTANCES - 1)
replicas = st.sampled_from(REPLICAS)


class DrainNoticeMachine(RuleBasedStateMachine):
    """Instances that detect drains and their ends and exchange delayed notices."""

    @initialize()
    def start(self):
        self.now_ms = 0.0
        bounds = DrainSettings(n_transmissions_max=10_000)
        self.registries = [
            DrainRegistry(bounds, f"entry-{index}") for index in range(N_INSTANCES)
        ]
        self.last_signal_ms = dict.fromkeys(REPLICAS, float("-inf"))
        self.in_flight = []

    @rule(index=instances, name=replicas, signal=st.sampled_from([HEALTH, LIST]))
    def signal(self, index, name, signal):
        self.registries[index].handle(DrainDetected(self.now_ms, 1e12, name, signal))
        self.last_signal_ms[name] = self.now_ms

    @rule(index=instances, name=replicas, signal=st.sampled_from([HEALTH, LIST]))
    def end_drain(self, index, name, signal):
        self.registries[index].handle(
            DrainEndDetected(self.now_ms, 1e12, name, signal, self.now_ms)
        )

    @rule(index=instances)
    def send(self, index):
        notices = self.registries[index].select_notices(self.now_ms)
        assert len(notices) <= DrainSettings().n_notices_max
        self.in_flight.append((self.now_ms, notices))

    @precondition(lambda self: self.in_flight)
    @rule(index=instances, data=st.data())
    def deliver(self, index, data):
        position = data.draw(st.integers(0, len(self.in_flight) - 1))
        sent_ms, notices = self.in_flight.pop(position)
        if self.now_ms - sent_ms <= DELAY_MAX_MS:
            self.registries[index].handle(NoticesReceived(self.now_ms, notices))

    @rule(duration_ms=st.sampled_from([10.0, 250.0, 499.0, 5_000.0, 14_000.0]))
    def advance(self, duration_ms):
        self.now_ms += duration_ms

    @invariant()
    def no_drain_outlives_its_last_signal(self):
        drift_ms = N_INSTANCES * DELAY_MAX_MS
        for registry in self.registries:
            for notice in registry.active_drains(self.now_ms):
                ends_ms = self.now_ms + notice.remaining_ms
                signalled_ms = self.last_signal_ms[notice.replica_name]
                assert ends_ms <= signalled_ms + LIFETIME_MS + drift_ms

    def teardown(self):
        """After two rounds of exchanges all instances must agree."""
        if not hasattr(self, "registries"):
            return
        for _ in range(2):
            for one in self.registries:
                for other in self.registries:
                    notices = one.select_notices(self.now_ms)
                    other.handle(NoticesReceived(self.now_ms, notices))
        least_ms = DrainSettings().remaining_min_ms + N_INSTANCES * DELAY_MAX_MS
        views = [
            {
                notice.replica_name
                for notice in registry.active_drains(self.now_ms)
                if notice.remaining_ms > least_ms
            }
            for registry in self.registries
        ]
        active = [
            {notice.replica_name for notice in registry.active_drains(self.now_ms)}
            for registry in self.registries
        ]
        assert set().union(*views) <= set.intersection(*active)


DrainNoticeMachine.TestCase.settings = settings(
    max_examples=150, stateful_step_count=40, derandomize=True, deadline=None
)
TestDrainNoticeMachine = DrainNoticeMachine.TestCase


@pytest.mark.parametrize(
    ("started_by", "recovered_by", "is_resumed"),
    [
        pytest.param(HEALTH, HEALTH, True, id="health"),
        pytest.param(DrainSignal.ANSWER, HEALTH, False, id="answer-then-health"),
        pytest.param(DrainSignal.REFUSED, HEALTH, True, id="refused-then-health"),
        pytest.param(LIST, HEALTH, False, id="list-then-health"),
        pytest.param(LIST, LIST, True, id="list-then-list"),
        pytest.param(DrainSignal.OPERATOR, HEALTH, False, id="operator-then-health"),
        pytest.param(HEALTH, DrainSignal.OPERATOR, True, id="health-then-operator"),
    ],
)
def test_signals_that_end_a_drain(started_by, recovered_by, is_resumed):
    """A healthy report must not end a drain that the replica does not know of."""
    registry = DrainRegistry()
    registry.handle(DrainDetected(0.0, 1e12, "r", started_by))
    actions = registry.handle(DrainEndDetected(100.0, 1e12, "r", recovered_by, 50.0))
    assert (ResumeCalls("r") in actions) is is_resumed
    assert (not registry.active_drains(100.0)) is is_resumed


@pytest.mark.parametrize(
    ("shown_in_health", "is_resumed"), [(False, False), (True, True)]
)
def test_lagging_health_does_not_end_a_drain(shown_in_health, is_resumed):
    """A health endpoint that does not show the drain yet must not end it."""
    registry = DrainRegistry()
    registry.handle(DrainDetected(0.0, 1e12, "r", DrainSignal.ANSWER))
    if shown_in_health:
        registry.handle(DrainDetected(1_000.0, 1e12, "r", HEALTH))
    actions = registry.handle(DrainEndDetected(2_000.0, 1e12, "r", HEALTH, 1_900.0))
    assert (ResumeCalls("r") in actions) is is_resumed


def test_only_the_first_notice_is_urgent():
    """Repeated signals of one drain must not each trigger an exchange."""
    registry = DrainRegistry()
    first = registry.handle(DrainDetected(0.0, 1e12, "r", HEALTH))
    again = registry.handle(DrainDetected(5_000.0, 1e12, "r", HEALTH))
    renewed = registry.handle(DrainDetected(16_000.0, 1e12, "r", HEALTH))
    assert first == [StopCalls("r", 30_000.0), DisseminateNotices()]
    assert again == []
    assert renewed == [StopCalls("r", 46_000.0)]


@pytest.mark.parametrize("n_instances", [2, 8])
def test_slow_echoes_do_not_keep_a_drain_alive(n_instances):
    """A notice forwarded around a ring with long delays must still expire."""
    unbounded = DrainSettings(n_transmissions_max=10_000)
    registries = [DrainRegistry(unbounded) for _ in range(n_instances)]
    registries[0].handle(DrainDetected(0.0, 1e12, "r", HEALTH))
    now_ms, index = 0.0, 0
    while now_ms < 120_000.0:
        notices = registries[index].select_notices(now_ms)
        assert all(notice.remaining_ms >= 1_000.0 for notice in notices)
        now_ms += 430.0
        index = (index + 1) % n_instances
        registries[index].handle(NoticesReceived(now_ms, notices))
        if now_ms > LIFETIME_MS + n_instances * DELAY_MAX_MS:
            assert not any(registry.active_drains(now_ms) for registry in registries)


# (case, signals of the instances by their position, in the same millisecond)
TIES = [
    ("end and renewal", {0: DrainDetected, 2: DrainEndDetected}),
    ("end and renewal elsewhere", {2: DrainDetected, 0: DrainEndDetected}),
    ("two ends and a renewal", {0: DrainEndDetected, 1: DrainDetected}),
]


@pytest.mark.parametrize(
    "signals", [case[1] for case in TIES], ids=[case[0] for case in TIES]
)
def test_notices_with_the_same_sequence_converge(signals):
    """Instances kept different notices of one drain until these expired."""
    registries = [DrainRegistry() for _ in range(N_INSTANCES)]
    registries[2].handle(DrainDetected(0.0, 1e12, "r", HEALTH))
    exchange(registries, 0.0, n_rounds=2)
    now_ms = 19_000.0
    for index, event_type in signals.items():
        observed = (now_ms,) if event_type is DrainEndDetected else ()
        registries[index].handle(event_type(now_ms, 1e12, "r", HEALTH, *observed))
    exchange(registries, now_ms, n_rounds=5)
    drained = [bool(registry.active_drains(now_ms)) for registry in registries]
    assert drained == [True] * N_INSTANCES


def exchange(registries, now_ms, n_rounds):
    """Send the notices of each registry to all others."""
    for _ in range(n_rounds):
        for one in registries:
            notices = one.select_notices(now_ms)
            for other in registries:
                other.handle(NoticesReceived(now_ms, notices))


@pytest.mark.parametrize(("began_ms", "is_ended"), [(900.0, False), (1_100.0, True)])
def test_check_that_began_before_the_drain_does_not_end_it(began_ms, is_ended):
    """A slow health check must not end a drain that was signalled meanwhile."""
    registry = DrainRegistry()
    registry.handle(DrainDetected(1_000.0, 1e12, "r", HEALTH))
    registry.handle(DrainEndDetected(1_200.0, 1e12, "r", HEALTH, began_ms))
    assert (not registry.active_drains(1_200.0)) is is_ended
