"""Guards the promises on one request at every step of its life, fault by fault."""

import asyncio
from dataclasses import replace
from itertools import combinations
from random import Random

import pytest

from chestnuthall.core.model import Answer
from chestnuthall.core.results import RetryAdvice, RunState
from chestnuthall.services.tests._world import (
    DEADLINE_MS,
    FLOOR_RATIO,
    World,
    make_map,
)
from chestnuthall.standins.virtual_time import run_virtual

STEPS = ("admitted", "pinned", "written", "part", "hedged", "replanning", "complete")
NEVER_HEDGED = ("hedged", "mutation")
KINDS = ("search", "lookup", "mutation")


def swap(world, n_shards=3):
    world.upstreams.snapshots = {2}
    world.upstreams.newest = make_map(2, n_shards)


def lose_replica(world):
    world.upstreams.dead.add("r10")


def stop_store(world):
    world.store.is_down = True


def jump(world, duration_ms):
    # A paused process finds its clock ahead when it resumes.
    asyncio.get_running_loop()._virtual_selector.now_s += duration_ms / 1000.0


def next_call(fault):
    return lambda world: world.upstreams.next_fault.update(s1=fault)


FAULTS = {
    "straggler": lambda world: world.upstreams.slow_ms.update(s1=200.0),
    "replica-lost": lose_replica,
    "cut-before": next_call("cut-before"),
    "cut-after": next_call("cut-after"),
    "crossed": next_call("crossed"),
    "late": lambda world: world.upstreams.slow_ms.update(s1=2 * DEADLINE_MS),
    "truncated": next_call("truncated"),
    "duplicate": next_call("duplicate"),
    "shed": next_call("shed"),
    "swapped": swap,
    "repartitioned": lambda world: swap(world, 4),
    "store-down": stop_store,
    "deadline-passed": lambda world: jump(world, DEADLINE_MS),
    "caller-gone": lambda world: world.task.cancel(),
    "paused": lambda world: jump(world, 100.0),
}


class Injector:
    """Brings about a fault when the request reaches a step."""

    def __init__(self, world, kind, step, faults):
        self.world, self.step, self.faults = world, step, list(faults)
        self.n_pins = 0
        self.n_answered = 0
        self.n_part = 2 if kind == "search" else 1
        world.upstreams.on_event = self.on_event
        pin, pin_replacement = world.directory.pin, world.directory.pin_replacement

        def observed_pin(group, excluded=()):
            # A request pins twice: to learn its cost, and once it is admitted.
            self.n_pins += 1
            if self.n_pins == 2:
                self.reach("admitted")
                found = pin(group, excluded)
                self.reach("pinned")
                return found
            return pin(group, excluded)

        async def observed_pin_replacement(group, unavailable_snapshot_ids):
            self.reach("replanning")
            return await pin_replacement(group, unavailable_snapshot_ids)

        world.directory.pin = observed_pin
        world.directory.pin_replacement = observed_pin_replacement
        if step == "hedged":
            world.upstreams.slow_ms.update(s1=100.0)
        if step == "replanning":
            swap(world)

    def on_event(self, name):
        self.n_answered += name == "answered"
        if name == "answered" and self.n_answered == self.n_part:
            self.reach("part")
        self.reach(name)

    def reach(self, step):
        if step == self.step:
            self.step = ""
            for fault in self.faults:
                FAULTS[fault](self.world)


async def live(seed, kind, step, faults):
    """Serve one request with faults, then send a mutation again once all is well."""
    world = World(seed)
    # Credit for hedges, as after a calm stretch.
    world.query._budgets["c"].record_calls(range(1_000), 0.0, 0.0)
    injector = Injector(world, kind, step, faults)
    request = world.request(kind)
    world.task = asyncio.ensure_future(world.query.serve(request))
    (outcome,) = await asyncio.gather(world.task, return_exceptions=True)
    took_ms = world.clock.now_ms() - request.arrived_ms
    injector.reach("complete")
    # A mutation is never hedged; every other step has to have been reached.
    assert injector.step == ("hedged" if (step, kind) == NEVER_HEDGED else "")
    check_outcome(world, kind, outcome, took_ms)
    await asyncio.sleep(2.0)
    assert world.directory.router("g").n_in_flight == 0
    assert world.query.admission_of(world_group(world)).n_running == 0
    world.store.is_down = False
    if kind == "mutation":
        world.upstreams.on_event = lambda name: None
        again = await world.query.serve(world.request(kind, number=2))
        check_outcome(world, kind, again, 0.0)
        assert len(world.upstreams.runs) <= 1
    return outcome


def world_group(world):
    return world.query._configuration.in_force.document.find_group("g")


def check_outcome(world, kind, outcome, took_ms):
    if isinstance(outcome, asyncio.CancelledError):
        return
    runs = [run for run in world.upstreams.runs if run[0] == outcome.request_id]
    assert took_ms <= 2 * DEADLINE_MS + 5.0
    if isinstance(outcome, Answer):
        check_answer(world, kind, outcome)
    elif outcome.run_state is RunState.NO:
        assert runs == []
        is_claimed = kind == "mutation" and bool(world.store.objects)
        # A claimed key is used up, so the same request would be refused for ever.
        assert not (is_claimed and outcome.repeat is RetryAdvice.SAFE)
        assert outcome.retry_after_ms is None or outcome.repeat is RetryAdvice.SAFE
    elif outcome.run_state is RunState.YES:
        assert runs != []
    if kind == "mutation":
        assert len(runs) <= 1


def check_answer(world, kind, answer):
    origins = [tuple(hit.key.split("/")) for hit in answer.hits]
    assert {item[0] for item in origins} <= {str(answer.snapshot_id)}
    assert {item[2] for item in origins} <= {answer.request_id}
    assert len({item[1] for item in origins}) == len(origins)
    n_covered = sum(int(hit.record) for hit in answer.hits)
    assert answer.coverage.n_documents_covered == n_covered
    newest = world.upstreams.newest
    pinned = newest if answer.snapshot_id == newest.snapshot_id else make_map()
    shard = pinned.shard_for_key("1x")
    n_total = pinned.n_documents if kind == "search" else shard.n_documents
    assert answer.coverage.n_documents_total == n_total
    assert kind == "mutation" or answer.coverage.ratio >= FLOOR_RATIO


def seed_of(*parts):
    return Random("/".join(parts)).randrange(1 << 30)


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("step", STEPS)
@pytest.mark.parametrize("fault", FAULTS)
def test_one_fault_at_each_step(fault, step, kind):
    """No single fault may mix snapshots, misreport, or run a mutation twice."""
    run_virtual(live(seed_of(fault, step, kind), kind, step, (fault,)))


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("pair", list(combinations(FAULTS, 2)), ids="+".join)
def test_two_faults_at_once(pair, kind):
    """Faults that come together must not break what each alone leaves whole."""
    step = Random("/".join(pair) + kind).choice(STEPS)
    run_virtual(live(seed_of(*pair, kind), kind, step, pair))


@pytest.mark.parametrize(
    ("step", "fault", "n_replans", "ratio"),
    [
        pytest.param("pinned", "swapped", 1, 1.0, id="swapped-before-calls"),
        pytest.param("written", "swapped", 1, 1.0, id="swapped-at-first-call"),
        pytest.param("part", "swapped", 0, 1.0, id="swapped-with-all-calls-begun"),
        pytest.param("pinned", "repartitioned", 1, 1.0, id="repartitioned"),
        pytest.param("written", "replica-lost", 0, 1.0, id="replica-lost"),
        pytest.param("written", "cut-after", 0, 1.0, id="cut"),
        pytest.param("written", "crossed", 0, 1.0, id="crossed"),
        pytest.param("written", "straggler", 0, 1.0, id="straggler"),
        pytest.param("written", "store-down", 0, 1.0, id="store-down"),
    ],
)
def test_search_is_whole_when_replicas_are_left(step, fault, n_replans, ratio):
    """A fault that other replicas can make good must not cost coverage."""
    answer = run_virtual(live(1, "search", step, (fault,)))
    assert isinstance(answer, Answer)
    assert answer.coverage.ratio == ratio
    assert answer.account.fan_out.n_replans == n_replans


def test_credit_outlives_a_revision():
    """Frequent changes of the document must not grant extra load each time."""

    async def scenario():
        world = World(1)
        budget = world.query._budgets["c"]
        in_force = world.query._configuration.in_force
        world.query._configuration.offer(replace(in_force, revision=2), "test")
        assert world.query._budgets["c"] is budget

    run_virtual(scenario())
