"""Guards the rules of revisions, races, promotion and announcement."""

import asyncio
import json

import pytest

from chestnuthall.adapters.documents import (
    JsonRevisionCodec,
    digest_of,
    read_environment,
    read_partition_map,
)
from chestnuthall.cli.tests.fakes import (
    RecordingAdmin,
    StepClock,
    TableStore,
    is_failure,
    status_of,
)
from chestnuthall.core.configuration import PromotionPolicy, PromotionVerdict
from chestnuthall.core.results import STORE_UNAVAILABLE, STORE_WRITE_UNKNOWN
from chestnuthall.ports import InstanceSummary
from chestnuthall.services import (
    Accepted,
    FleetView,
    Publication,
    RaceLost,
    RevisionBook,
)


def document(share):
    """Return a document; the odd layout must survive promotion byte by byte."""
    return (
        f'{{"classes": {{"clerk": {{"share":  {share}, "deadline_ms": 900}}}},\n'
        ' "groups": {"desk": {"n_slots": 3, "n_connections_max": 30}}} // end\n'
    )


class World:
    """A store, instances and the services of two operators."""

    def __init__(self, statuses=()):
        self.store = TableStore()
        self.clock = StepClock()
        self.admin = RecordingAdmin(statuses)
        for name in ("entry-0", "entry-1"):
            body = {"name": name, "role": "entry", "zone": "a", "address": name}
            self.store.table.put("instances", name, json.dumps(body), None)
        self.book = RevisionBook(
            self.store, self.clock, JsonRevisionCodec(), read_environment
        )
        fleet = FleetView(
            self.store, self.admin, self.clock, _read_listed, read_partition_map
        )
        self.fleet = fleet
        tokens = iter(f"token-{n}" for n in range(100))
        self.publication = Publication(self.book, fleet, lambda: next(tokens))

    async def publish(self, share, author="ada", base="read", **options):
        if base == "read":
            base = await self.book.in_force("trial")
        text = document(share)
        draft = self.publication.draft("trial", text, digest_of(text), author, "why")
        return await self.publication.publish(draft, base, **options)

    def put_behind_back(self, share, author, token):
        """Replace the document as a second operator's tool does."""

        async def write():
            other = RevisionBook(
                self.store, self.clock, JsonRevisionCodec(), read_environment
            )
            base = await other.in_force("trial")
            text = document(share)
            draft = self.publication.draft(
                "trial", text, digest_of(text), author, token
            )
            return await other.accept(draft, base)

        coroutine = write()
        with pytest.raises(StopIteration):
            coroutine.send(None)


def _read_listed(text):
    body = json.loads(text)
    return InstanceSummary(body["name"], "entry", "a", body["address"], "live")


def test_loser_of_a_race_is_told_who_won_and_what_differs():
    """Guards against an operator's change being overwritten unseen."""

    async def scenario():
        world = World()
        await world.publish(1)
        base = await world.book.in_force("trial")
        won = await world.publish(2, "bea", base)
        lost = await world.publish(3, "ada", base)
        late = await world.publish(4, "ada", expected_revision=1)
        return world, won, lost, late

    world, won, lost, late = asyncio.run(scenario())
    assert isinstance(won, Accepted)
    for result, share in ((lost, 3), (late, 4)):
        assert isinstance(result, RaceLost)
        assert (result.winner.author, result.winner.revision) == ("bea", 2)
        shown = [str(item) for item in result.differences]
        assert shown == [f"classes.clerk.share: 2.0 -> {share}.0"]
    announced = [json.loads(text)["revision"] for _, text in world.admin.announced]
    assert announced == [1, 1, 2, 2]


def _replace(world):
    return lambda: world.put_behind_back(9, "bea", "theirs")


# (case, faults of the writes, reads that fail, what comes out, revision, announced)
LOST_ANSWERS = [
    ("answer lost", ["lose_answer"], 0, Accepted, 2, True),
    ("write lost", ["lose_write"], 0, Accepted, 2, True),
    (
        "write lost, then its answer",
        ["lose_write", "lose_answer"],
        0,
        Accepted,
        2,
        True,
    ),
    ("answer lost, then an outage", ["lose_answer"], 9, Accepted, 2, True),
    ("answer lost, then replaced", [_replace], 0, Accepted, 3, False),
    ("store gone for good", ["lose_write"] * 999, 999, None, 1, False),
]


@pytest.mark.parametrize(
    ("faults", "n_failing_reads", "kind", "revision", "is_announced"),
    [case[1:] for case in LOST_ANSWERS],
    ids=[case[0] for case in LOST_ANSWERS],
)
def test_lost_answer_is_settled_before_anything_is_announced(
    faults, n_failing_reads, kind, revision, is_announced
):
    """Guards against a document announced that the store does not have."""

    async def scenario():
        world = World()
        await world.publish(1)
        world.admin.announced.clear()
        base = await world.book.in_force("trial")
        world.store.write_faults = [
            fault(world) if callable(fault) else fault for fault in faults
        ]
        # The two reads of the history before the write must succeed.
        await world.book.record_in_history(base.record)
        text = document(2)
        draft = world.publication.draft("trial", text, digest_of(text), "ada", "why")
        if n_failing_reads:
            _fail_reads_after_write(world, n_failing_reads)
        result = await world.publication.publish(draft, base)
        world.store.n_failing_reads = 0
        return world, result, await world.book.in_force("trial")

    world, result, found = asyncio.run(scenario())
    if kind is None:
        assert is_failure(result, STORE_WRITE_UNKNOWN)
    else:
        assert isinstance(result, kind)
    assert found.record.revision == revision
    assert bool(world.admin.announced) is is_announced


def _fail_reads_after_write(world, n_failing_reads):
    write = world.store._write

    def failing(kind, *arguments):
        result = write(kind, *arguments)
        if kind == "environments":
            world.store.n_failing_reads = n_failing_reads
        return result

    world.store._write = failing


def test_outage_right_after_the_acceptance_does_not_delay_the_announcement():
    """Guards the 8 s in which an accepted revision is in force everywhere."""

    async def scenario():
        world = World()
        await world.publish(1)
        announced_ms = []
        announce = world.admin.announce

        async def announce_noting_time(*arguments):
            announced_ms.append(world.clock.now_ms())
            return await announce(*arguments)

        async def time_out(*arguments):
            world.clock.at_ms += 2_000.0
            return STORE_UNAVAILABLE.with_reason("down")

        write = world.store._write

        def write_then_go_down(*arguments):
            result = write(*arguments)
            if arguments[0] == "environments":
                world.store.get = world.store.list_kind = time_out
                world.store.update = world.store.create = time_out
            return result

        world.admin.announce = announce_noting_time
        world.store._write = write_then_go_down
        began_ms = world.clock.now_ms()
        result = await world.publish(2)
        return result, [at_ms - began_ms for at_ms in announced_ms]

    result, delays_ms = asyncio.run(scenario())
    assert isinstance(result, Accepted)
    assert delays_ms == [0.0, 0.0]


def test_history_has_no_gap_when_a_writer_ends_after_its_write():
    """Guards against a revision of which nobody knows who made it."""

    async def scenario():
        world = World()
        await world.publish(1, "ada")
        world.store.table.delete("environment-history", "trial", None)
        before = await world.book.history("trial")
        await world.publish(2, "bea")
        return before, await world.book.history("trial")

    before, after = asyncio.run(scenario())
    assert [item.author for item in before.records] == ["ada"]
    assert [item.author for item in after.records] == ["ada", "bea"]
    assert [item.revision for item in after.records] == [1, 2]


GOOD = (("OK", 40), ("QUEUE_FULL", 1))
# (case, age in ms, digest matches, counts, override, promoted, lack or source)
PROMOTIONS = [
    ("with evidence", 70_000, True, GOOD, "", True, ""),
    ("too young", 5_000, True, GOOD, "", False, "in force for 5 s; 60 s are"),
    ("other document", 70_000, False, GOOD, "", False, "no instance of trial"),
    ("no requests", 70_000, True, (), "", False, "0 requests were served"),
    ("overridden", 5_000, True, (), "closure tonight", True, ""),
    ("blank override", 5_000, True, (), "  ", False, "in force for 5 s; 60 s are"),
]


@pytest.mark.parametrize(
    ("age_ms", "matches", "counts", "override", "is_promoted", "lack"),
    [case[1:] for case in PROMOTIONS],
    ids=[case[0] for case in PROMOTIONS],
)
def test_promotion_keeps_the_digest_and_needs_evidence(
    age_ms, matches, counts, override, is_promoted, lack
):
    """Guards against production getting what trial did not prove."""

    async def scenario():
        world = World()
        accepted = await world.publish(1)
        digest = accepted.record.digest if matches else "other"
        since = world.clock.wall_ms() - age_ms
        for name in ("entry-0", "entry-1"):
            world.admin.statuses[name] = status_of(
                name, digest=digest, since_wall_ms=since, results=counts
            )
        instances = await world.fleet.entries()
        evidence = await world.fleet.evidence(accepted.record, instances, ())
        result = await world.publication.promote(
            evidence,
            "production",
            PromotionPolicy(),
            "bea",
            "proven",
            override_reason=override,
        )
        return accepted, result, await world.book.in_force("production")

    trial, result, production = asyncio.run(scenario())
    if not is_promoted:
        assert isinstance(result, PromotionVerdict)
        assert any(item.startswith(lack) for item in result.lacks), result.lacks
        assert production is None
        return
    assert production.record.text == trial.record.text == document(1)
    assert production.record.digest == digest_of(production.record.text)
    assert production.record.digest == trial.record.digest
    assert production.record.source_revision == trial.record.revision
    assert production.record.override_reason == override
    assert "requests" in production.record.evidence
