"""Guards the publication of documents against races, lost answers and outages.

Two operators write to one store, whose writes and answers can be lost.
"""

import asyncio
import json

import pytest

from chestnuthall.adapters.documents import (
    JsonRevisionCodec,
    document_digest,
    read_environment,
    read_partition_map,
)
from chestnuthall.cli.tests.fakes import (
    FakeClock,
    InMemoryObjectStore,
    RecordingInstanceAdmin,
    is_failure,
    make_status,
)
from chestnuthall.core.configuration import PromotionPolicy, PromotionVerdict
from chestnuthall.core.results import STORE_UNAVAILABLE, STORE_WRITE_UNKNOWN
from chestnuthall.ports import InstanceSummary
from chestnuthall.services import (
    ConfigurationPublisher,
    FleetView,
    RaceLost,
    RevisionAccepted,
    RevisionRepository,
)


def document(share):
    """Return a document with irregular layout, which promotion must not change."""
    return (
        f'{{"classes": {{"clerk": {{"share":  {share}, "deadline_ms": 900}}}},\n'
        ' "groups": {"desk": {"n_slots": 3, "n_connections_max": 30}}} // end\n'
    )


class PublicationSetup:
    """A store with two listed instances and the services of an operator's tool."""

    def __init__(self, statuses=()):
        self.store = InMemoryObjectStore()
        self.clock = FakeClock()
        self.admin = RecordingInstanceAdmin(statuses)
        for name in ("entry-0", "entry-1"):
            body = {"name": name, "role": "entry", "zone": "a", "address": name}
            self.store.table.put("instances", name, json.dumps(body), None)
        self.revision_repository = RevisionRepository(
            self.store, self.clock, JsonRevisionCodec(), read_environment
        )
        fleet = FleetView(
            self.store,
            self.admin,
            self.clock,
            _read_instance_summary,
            read_partition_map,
        )
        self.fleet = fleet
        tokens = iter(f"token-{n}" for n in range(100))
        self.publisher = ConfigurationPublisher(
            self.revision_repository, fleet, lambda: next(tokens)
        )

    async def publish(self, share, author="ada", base="read", **options):
        if base == "read":
            base = await self.revision_repository.in_force("trial")
        text = document(share)
        draft = self.publisher.draft(
            "trial", text, document_digest(text), author, "why"
        )
        return await self.publisher.publish(draft, base, **options)

    def replace_concurrently(self, share, author, token):
        """Replace the document in force from the tool of a second operator."""

        async def write():
            other = RevisionRepository(
                self.store, self.clock, JsonRevisionCodec(), read_environment
            )
            base = await other.in_force("trial")
            text = document(share)
            draft = self.publisher.draft(
                "trial", text, document_digest(text), author, token
            )
            return await other.accept(draft, base)

        coroutine = write()
        with pytest.raises(StopIteration):
            coroutine.send(None)


def _read_instance_summary(text):
    body = json.loads(text)
    return InstanceSummary(body["name"], "entry", "a", body["address"], "live")


def test_lost_race_reports_winner_and_differences():
    """Guards against an operator's change being overwritten unnoticed."""

    async def scenario():
        setup = PublicationSetup()
        await setup.publish(1)
        base = await setup.revision_repository.in_force("trial")
        won = await setup.publish(2, "bea", base)
        lost = await setup.publish(3, "ada", base)
        late = await setup.publish(4, "ada", expected_revision=1)
        return setup, won, lost, late

    setup, won, lost, late = asyncio.run(scenario())
    assert isinstance(won, RevisionAccepted)
    for result, share in ((lost, 3), (late, 4)):
        assert isinstance(result, RaceLost)
        assert (result.winner.author, result.winner.revision) == ("bea", 2)
        shown = [str(item) for item in result.differences]
        assert shown == [f"classes.clerk.share: 2.0 -> {share}.0"]
    announced = [json.loads(text)["revision"] for _, text in setup.admin.announced]
    assert announced == [1, 1, 2, 2]


def _concurrent_replacement(setup):
    return lambda: setup.replace_concurrently(9, "bea", "theirs")


# (case, faults of the writes, number of failing reads, type of the result or None for
# a failure, revision in force, announced)
WRITE_FAULTS = [
    ("answer lost", ["lose_answer"], 0, RevisionAccepted, 2, True),
    ("write lost", ["lose_write"], 0, RevisionAccepted, 2, True),
    (
        "write lost, then its answer",
        ["lose_write", "lose_answer"],
        0,
        RevisionAccepted,
        2,
        True,
    ),
    ("answer lost, then an outage", ["lose_answer"], 9, RevisionAccepted, 2, True),
    (
        "answer lost, then replaced",
        [_concurrent_replacement],
        0,
        RevisionAccepted,
        3,
        False,
    ),
    ("permanent outage", ["lose_write"] * 999, 999, None, 1, False),
]


@pytest.mark.parametrize(
    ("faults", "n_failing_reads", "kind", "revision", "is_announced"),
    [case[1:] for case in WRITE_FAULTS],
    ids=[case[0] for case in WRITE_FAULTS],
)
def test_ambiguous_write_is_resolved_before_announcement(
    faults, n_failing_reads, kind, revision, is_announced
):
    """Guards against announcing a document that the store does not have."""

    async def scenario():
        setup = PublicationSetup()
        await setup.publish(1)
        setup.admin.announced.clear()
        base = await setup.revision_repository.in_force("trial")
        setup.store.write_faults = [
            fault(setup) if callable(fault) else fault for fault in faults
        ]
        # The two reads of the history before the write must succeed.
        await setup.revision_repository.record_in_history(base.record)
        text = document(2)
        draft = setup.publisher.draft(
            "trial", text, document_digest(text), "ada", "why"
        )
        if n_failing_reads:
            _fail_reads_after_write(setup, n_failing_reads)
        result = await setup.publisher.publish(draft, base)
        setup.store.n_failing_reads = 0
        return setup, result, await setup.revision_repository.in_force("trial")

    setup, result, found = asyncio.run(scenario())
    if kind is None:
        assert is_failure(result, STORE_WRITE_UNKNOWN)
    else:
        assert isinstance(result, kind)
    assert found.record.revision == revision
    assert bool(setup.admin.announced) is is_announced


def _fail_reads_after_write(setup, n_failing_reads):
    write = setup.store._write

    def failing(kind, *arguments):
        result = write(kind, *arguments)
        if kind == "environments":
            setup.store.n_failing_reads = n_failing_reads
        return result

    setup.store._write = failing


def test_outage_after_acceptance_does_not_delay_announcement():
    """Guards the limit of 8 s until an accepted revision is in force everywhere.

    Store calls between the acceptance and the announcement would wait for time-outs.
    """

    async def scenario():
        setup = PublicationSetup()
        await setup.publish(1)
        announced_ms = []
        offer_configuration = setup.admin.offer_configuration

        async def announce_recording_time(*arguments):
            announced_ms.append(setup.clock.now_ms())
            return await offer_configuration(*arguments)

        async def time_out(*arguments):
            setup.clock.at_ms += 2_000.0
            return STORE_UNAVAILABLE.with_reason("unavailable")

        write = setup.store._write

        def write_then_start_outage(*arguments):
            result = write(*arguments)
            if arguments[0] == "environments":
                setup.store.get = setup.store.list_kind = time_out
                setup.store.update = setup.store.create = time_out
            return result

        setup.admin.offer_configuration = announce_recording_time
        setup.store._write = write_then_start_outage
        start_ms = setup.clock.now_ms()
        result = await setup.publish(2)
        return result, [at_ms - start_ms for at_ms in announced_ms]

    result, delays_ms = asyncio.run(scenario())
    assert isinstance(result, RevisionAccepted)
    assert delays_ms == [0.0, 0.0]


def test_history_is_complete_when_a_writer_stops_after_its_write():
    """Guards against a revision without author in the history.

    A writer that stops after its write has not added the revision to the history.
    """

    async def scenario():
        setup = PublicationSetup()
        await setup.publish(1, "ada")
        setup.store.table.delete("environment-history", "trial", None)
        before = await setup.revision_repository.history("trial")
        await setup.publish(2, "bea")
        return before, await setup.revision_repository.history("trial")

    before, after = asyncio.run(scenario())
    assert [item.author for item in before.records] == ["ada"]
    assert [item.author for item in after.records] == ["ada", "bea"]
    assert [item.revision for item in after.records] == [1, 2]


GOOD = (("OK", 40), ("QUEUE_FULL", 1))
# (case, age in ms, digest matches, counts by result, override, promoted, missing item)
PROMOTIONS = [
    ("with evidence", 70_000, True, GOOD, "", True, ""),
    (
        "in force too briefly",
        5_000,
        True,
        GOOD,
        "",
        False,
        "in force for 5 s; 60 s are",
    ),
    ("other document", 70_000, False, GOOD, "", False, "no instance of trial"),
    ("no requests", 70_000, True, (), "", False, "0 requests were served"),
    ("overridden", 5_000, True, (), "closure tonight", True, ""),
    ("blank override", 5_000, True, (), "  ", False, "in force for 5 s; 60 s are"),
]


@pytest.mark.parametrize(
    ("age_ms", "matches", "counts", "override", "is_promoted", "missing_item"),
    [case[1:] for case in PROMOTIONS],
    ids=[case[0] for case in PROMOTIONS],
)
def test_promotion_keeps_the_digest_and_requires_evidence(
    age_ms, matches, counts, override, is_promoted, missing_item
):
    """Guards against promoting a document without evidence from trial."""

    async def scenario():
        setup = PublicationSetup()
        accepted = await setup.publish(1)
        digest = accepted.record.digest if matches else "other"
        since = setup.clock.wall_ms() - age_ms
        for name in ("entry-0", "entry-1"):
            setup.admin.statuses[name] = make_status(
                name, digest=digest, since_wall_ms=since, results=counts
            )
        instances = await setup.fleet.list_entry_instances()
        evidence = await setup.fleet.gather_trial_evidence(
            accepted.record, instances, ()
        )
        result = await setup.publisher.promote(
            evidence,
            "production",
            PromotionPolicy(),
            "bea",
            "proven",
            override_reason=override,
        )
        return accepted, result, await setup.revision_repository.in_force("production")

    trial, result, production = asyncio.run(scenario())
    if not is_promoted:
        assert isinstance(result, PromotionVerdict)
        assert any(item.startswith(missing_item) for item in result.missing), (
            result.missing
        )
        assert production is None
        return
    assert production.record.text == trial.record.text == document(1)
    assert production.record.digest == document_digest(production.record.text)
    assert production.record.digest == trial.record.digest
    assert production.record.source_revision == trial.record.revision
    assert production.record.override_reason == override
    assert "requests" in production.record.evidence
