"""Guards the guarantees of a request under faults injected at each of its steps.

The names of faults, steps and kinds enter the seeds, so that renaming one changes
the test. The step ``part`` is reached at the second shard answer of a search, or at
the first one of a lookup or mutation.
"""

import asyncio
from dataclasses import replace
from itertools import combinations
from random import Random

import pytest

from chestnuthall.core.model import Answer
from chestnuthall.core.results import RetryAdvice, RunState
from chestnuthall.services.tests._harness import (
    DEADLINE_MS,
    FLOOR_RATIO,
    QueryHarness,
    make_map,
)
from chestnuthall.standins.virtual_time import run_virtual

STEPS = ("admitted", "pinned", "written", "part", "hedged", "replanning", "complete")
NEVER_HEDGED = ("hedged", "mutation")
KINDS = ("search", "lookup", "mutation")


def replace_snapshot(harness, n_shards=3):
    harness.upstreams.snapshots = {2}
    harness.upstreams.newest = make_map(2, n_shards)


def fail_replica(harness):
    harness.upstreams.dead.add("r10")


def make_store_unavailable(harness):
    harness.store.is_unavailable = True


def advance_clock(harness, duration_ms):
    # The clock has advanced when a paused process resumes.
    asyncio.get_running_loop()._virtual_selector.now_s += duration_ms / 1000.0


def fail_next_call(fault):
    return lambda harness: harness.upstreams.next_fault.update(s1=fault)


FAULTS = {
    "straggler": lambda harness: harness.upstreams.slow_ms.update(s1=200.0),
    "replica-lost": fail_replica,
    "cut-before": fail_next_call("cut-before"),
    "cut-after": fail_next_call("cut-after"),
    "crossed": fail_next_call("crossed"),
    "late": lambda harness: harness.upstreams.slow_ms.update(s1=2 * DEADLINE_MS),
    "truncated": fail_next_call("truncated"),
    "duplicate": fail_next_call("duplicate"),
    "shed": fail_next_call("shed"),
    "swapped": replace_snapshot,
    "repartitioned": lambda harness: replace_snapshot(harness, 4),
    "store-down": make_store_unavailable,
    "deadline-passed": lambda harness: advance_clock(harness, DEADLINE_MS),
    "caller-gone": lambda harness: harness.task.cancel(),
    "paused": lambda harness: advance_clock(harness, 100.0),
}


class Injector:
    """Injects faults when the request reaches a step."""

    def __init__(self, harness, kind, step, faults):
        self.harness, self.step, self.faults = harness, step, list(faults)
        self.n_pins = 0
        self.n_answered = 0
        self.n_partial_answers = 2 if kind == "search" else 1
        harness.upstreams.on_event = self.on_event
        pin, pin_replacement = harness.directory.pin, harness.directory.pin_replacement

        def observed_pin(group, excluded=()):
            # A request pins a map twice: for its cost, and after its admission.
            self.n_pins += 1
            if self.n_pins == 2:
                self.on_step("admitted")
                found = pin(group, excluded)
                self.on_step("pinned")
                return found
            return pin(group, excluded)

        async def observed_pin_replacement(group, unavailable_snapshot_ids):
            self.on_step("replanning")
            return await pin_replacement(group, unavailable_snapshot_ids)

        harness.directory.pin = observed_pin
        harness.directory.pin_replacement = observed_pin_replacement
        if step == "hedged":
            harness.upstreams.slow_ms.update(s1=100.0)
        if step == "replanning":
            replace_snapshot(harness)

    def on_event(self, name):
        self.n_answered += name == "answered"
        if name == "answered" and self.n_answered == self.n_partial_answers:
            self.on_step("part")
        self.on_step(name)

    def on_step(self, step):
        if step == self.step:
            self.step = ""
            for fault in self.faults:
                FAULTS[fault](self.harness)


async def serve_with_faults(seed, kind, step, faults):
    """Serve one request with faults; then send a mutation again without faults."""
    harness = QueryHarness(seed)
    # Accumulated credit for hedges, as after a period of low load.
    harness.query._budgets["c"].record_calls(range(1_000), 0.0, 0.0)
    injector = Injector(harness, kind, step, faults)
    request = harness.request(kind)
    harness.task = asyncio.ensure_future(harness.query.serve(request))
    (outcome,) = await asyncio.gather(harness.task, return_exceptions=True)
    elapsed_ms = harness.clock.now_ms() - request.arrived_ms
    injector.on_step("complete")
    # All steps have to be reached, except that a mutation is never hedged.
    assert injector.step == ("hedged" if (step, kind) == NEVER_HEDGED else "")
    check_outcome(harness, kind, outcome, elapsed_ms)
    await asyncio.sleep(2.0)
    assert harness.directory.router("g").n_in_flight == 0
    assert harness.query.admission_of(group_of(harness)).n_running == 0
    harness.store.is_unavailable = False
    if kind == "mutation":
        harness.upstreams.on_event = lambda name: None
        second_outcome = await harness.query.serve(harness.request(kind, number=2))
        check_outcome(harness, kind, second_outcome, 0.0)
        assert len(harness.upstreams.runs) <= 1
    return outcome


def group_of(harness):
    return harness.query._configuration.in_force.document.find_group("g")


def check_outcome(harness, kind, outcome, elapsed_ms):
    if isinstance(outcome, asyncio.CancelledError):
        return
    runs = [run for run in harness.upstreams.runs if run[0] == outcome.request_id]
    assert elapsed_ms <= 2 * DEADLINE_MS + 5.0
    if isinstance(outcome, Answer):
        check_answer(harness, kind, outcome)
    elif outcome.run_state is RunState.NO:
        assert runs == []
        is_claimed = kind == "mutation" and bool(harness.store.objects)
        # A request with a claimed key would be refused at every repetition.
        assert not (is_claimed and outcome.repeat is RetryAdvice.SAFE)
        assert outcome.advice is None or outcome.repeat is RetryAdvice.SAFE
    elif outcome.run_state is RunState.YES:
        assert runs != []
    if kind == "mutation":
        assert len(runs) <= 1


def check_answer(harness, kind, answer):
    origins = [tuple(hit.key.split("/")) for hit in answer.hits]
    assert {item[0] for item in origins} <= {str(answer.snapshot_id)}
    assert {item[2] for item in origins} <= {answer.request_id}
    assert len({item[1] for item in origins}) == len(origins)
    n_covered = sum(int(hit.record) for hit in answer.hits)
    assert answer.coverage.n_documents_covered == n_covered
    newest = harness.upstreams.newest
    pinned = newest if answer.snapshot_id == newest.snapshot_id else make_map()
    shard = pinned.shard_for_key("1x")
    n_total = pinned.n_documents if kind == "search" else shard.n_documents
    assert answer.coverage.n_documents_total == n_total
    assert kind == "mutation" or answer.coverage.ratio >= FLOOR_RATIO


def seed_of(*names):
    return Random("/".join(names)).randrange(1 << 30)


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("step", STEPS)
@pytest.mark.parametrize("fault", FAULTS)
def test_one_fault_at_each_step(fault, step, kind):
    """Guards against mixed snapshots, wrong reports and mutations that run twice."""
    run_virtual(serve_with_faults(seed_of(fault, step, kind), kind, step, (fault,)))


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("pair", list(combinations(FAULTS, 2)), ids="+".join)
def test_two_faults_at_the_same_step(pair, kind):
    """Guards against the same failures if two faults are injected together."""
    step = Random("/".join(pair) + kind).choice(STEPS)
    run_virtual(serve_with_faults(seed_of(*pair, kind), kind, step, pair))


@pytest.mark.parametrize(
    ("step", "fault", "n_replans", "ratio"),
    [
        pytest.param("pinned", "swapped", 1, 1.0, id="swapped-before-calls"),
        pytest.param("written", "swapped", 1, 1.0, id="swapped-at-first-call"),
        pytest.param("part", "swapped", 0, 1.0, id="swapped-after-all-calls-started"),
        pytest.param("pinned", "repartitioned", 1, 1.0, id="repartitioned"),
        pytest.param("written", "replica-lost", 0, 1.0, id="replica-lost"),
        pytest.param("written", "cut-after", 0, 1.0, id="connection-reset"),
        pytest.param("written", "crossed", 0, 1.0, id="crossed"),
        pytest.param("written", "straggler", 0, 1.0, id="straggler"),
        pytest.param("written", "store-down", 0, 1.0, id="store-down"),
    ],
)
def test_search_is_complete_while_replicas_remain(step, fault, n_replans, ratio):
    """Guards against lost coverage after a fault that other replicas compensate."""
    answer = run_virtual(serve_with_faults(1, "search", step, (fault,)))
    assert isinstance(answer, Answer)
    assert answer.coverage.ratio == ratio
    assert answer.account.fan_out.n_replans == n_replans


def test_credit_is_kept_across_revisions():
    """Guards against frequent revisions that each grant the initial credit again."""

    async def scenario():
        harness = QueryHarness(1)
        budget = harness.query._budgets["c"]
        in_force = harness.query._configuration.in_force
        harness.query._configuration.offer(replace(in_force, revision=2), "test")
        assert harness.query._budgets["c"] is budget

    run_virtual(scenario())
