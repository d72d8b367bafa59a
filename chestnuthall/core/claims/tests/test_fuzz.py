"""Property-based test of the claim protocol: no key is dispatched twice.

Three writers share one partition of a store whose writes may take effect at
once, later or never, with or without an answer. A holder may be paused between
any two steps, because a writer advances only when the test selects it. The
failure occurs if two attempts both conclude that they hold the same key.

By default the examples are derived from the source of ``ClaimProtocol``: a renamed
method or a changed docstring of the class changes the examples that are run.
In the class, a write "lands" when it takes effect in the store.
"""

import os

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from chestnuthall.core import claims as core
from chestnuthall.core.results import RATE_LIMITED, STORE_UNAVAILABLE, RunState

N_EXAMPLES = int(os.environ.get("CHESTNUTHALL_FUZZ_EXAMPLES", "150"))
LEDGER = core.LedgerSettings(
    retention_ms=100.0, future_tolerance_ms=20.0, n_entries_max=3, n_bytes_max=100_000
)
WRITERS = st.integers(0, 2)
# Few keys, so that writers compete for them; the ones that are drawn rarely are
# still used after other keys have been pruned.
KEYS = st.sampled_from([f"key-{letter}" for letter in "aaaabbbcdef"])
OUTCOMES = ["done", "done", "landed", "late", "never", "failed", "limited"]


class ClaimProtocol(RuleBasedStateMachine):
    """A dispatch is what a holder does once, any time after its claim held."""

    @initialize()
    def start(self):
        self.now_ms = 1_000.0
        self.versions = [(0, core.EMPTY_PARTITION)]
        self.writers = [core.PartitionClaimMachine(LEDGER) for _ in range(3)]
        self.calls = [None, None, None]
        self.late = []
        self.claims = {}
        self.issued_at_ms = {}
        self.waiting = [{}, {}, {}]
        self.holders = []
        self.refused_not_run = set()
        self.dispatched = {}
        self.n_tokens = 0

    def feed(self, index, event):
        self.calls[index] = None
        self.take(index, self.writers[index].handle(event))

    def take(self, index, actions):
        for action in actions:
            if isinstance(action, core.CompleteClaim):
                self.settle(index, action)
            else:
                assert self.calls[index] is None, "two calls under way"
                self.calls[index] = action

    def settle(self, index, action):
        claim = self.waiting[index].pop(action.token)
        if action.failure is None:
            self.holders.append((index, claim))
        elif action.failure.kind.run is RunState.NO:
            self.refused_not_run.add(claim.token)

    @rule(index=WRITERS, key=KEYS, age_ms=st.sampled_from([0.0, 30.0, 90.0, -15.0]))
    def request(self, index, key, age_ms):
        self.n_tokens += 1
        # A key is issued once: a retried request carries the same issue time.
        issued_at_ms = self.issued_at_ms.setdefault(key, self.now_ms - age_ms)
        claim = core.KeyClaim(key, f"t{self.n_tokens}", issued_at_ms)
        self.claims[claim.token] = claim
        self.waiting[index][claim.token] = claim
        event = core.ClaimRequested(self.clock(index), claim)
        self.take(index, self.writers[index].handle(event))

    def clock(self, index):
        """The writers' clocks differ by up to 50 ms, half of the retention."""
        return self.now_ms + (index - 1) * 50.0

    @rule(index=WRITERS, data=st.data())
    def withdraw(self, index, data):
        if self.waiting[index]:
            token = data.draw(st.sampled_from(sorted(self.waiting[index])))
            event = core.ClaimWithdrawn(self.clock(index), self.claims[token])
            self.take(index, self.writers[index].handle(event))

    @rule(data=st.data(), is_abandoned=st.booleans())
    def act_on_claim(self, data, is_abandoned):
        if not self.holders:
            return
        holder = data.draw(st.sampled_from(self.holders))
        self.holders.remove(holder)
        index, claim = holder
        if is_abandoned:
            event = core.ClaimAbandoned(self.clock(index), claim)
            self.take(index, self.writers[index].handle(event))
            return
        assert claim.token not in self.refused_not_run
        self.dispatched.setdefault(claim.idempotency_key, []).append(claim.token)

    @rule(index=WRITERS, n_steps=st.integers(0, 5), last=st.sampled_from(OUTCOMES))
    def run_writer(self, index, n_steps, last):
        """Answer some calls of a writer as they should be, then one as chosen."""
        for _ in range(n_steps):
            self.answer(index, "done")
        self.answer(index, last)

    def answer(self, index, outcome):
        call = self.calls[index]
        wall_ms = self.clock(index)
        if isinstance(call, core.ReadPartition):
            self.answer_read(index, outcome)
        elif isinstance(call, core.WritePartition):
            self.answer_write(index, call, outcome)
        elif isinstance(call, core.AwaitWriteSlot):
            self.feed(index, core.WriteSlotGranted(wall_ms))
        elif isinstance(call, core.Delay):
            self.feed(index, core.DelayEnded(wall_ms))

    def answer_read(self, index, outcome):
        if outcome == "failed":
            failure = STORE_UNAVAILABLE.with_reason("down")
            self.feed(index, core.ReadFailed(self.clock(index), failure))
            return
        n_behind = {"late": 1, "never": 2}.get(outcome, 0)
        version, partition = self.versions[max(0, len(self.versions) - 1 - n_behind)]
        self.feed(index, core.PartitionRead(self.clock(index), version, partition))

    def answer_write(self, index, call, outcome):
        wall_ms = self.clock(index)
        if outcome in ("failed", "limited"):
            kind = STORE_UNAVAILABLE if outcome == "failed" else RATE_LIMITED
            self.feed(index, core.WriteFailed(wall_ms, kind.with_reason("")))
        elif outcome == "done":
            if self.land(call):
                event = core.WriteSucceeded(wall_ms, self.versions[-1][0])
            else:
                event = core.WriteConflicted(wall_ms, 0.5)
            self.feed(index, event)
        else:
            if outcome == "landed":
                self.land(call)
            elif outcome == "late":
                self.late.append(call)
            self.feed(index, core.WriteUnresolved(wall_ms))

    def land(self, write):
        """Apply a write; return whether its condition held."""
        version, stored = self.versions[-1]
        if write.version != version:
            return False
        assert write.partition.floor_ms >= stored.floor_ms, "the floor fell"
        self.versions.append((version + 1, write.partition))
        return True

    @precondition(lambda self: self.late)
    @rule(data=st.data())
    def land_late(self, data):
        index = data.draw(st.integers(0, len(self.late) - 1))
        self.land(self.late.pop(index))

    @rule(duration_ms=st.sampled_from([1.0, 40.0, 120.0]))
    def pass_time(self, duration_ms):
        self.now_ms += duration_ms

    @rule(index=WRITERS)
    def restart(self, index):
        """The instance is killed; what it has sent may still land."""
        if isinstance(self.calls[index], core.WritePartition):
            self.late.append(self.calls[index])
        self.calls[index] = None
        self.writers[index] = core.PartitionClaimMachine(LEDGER)
        self.waiting[index] = {}
        self.holders = [item for item in self.holders if item[0] != index]

    @invariant()
    def a_key_is_dispatched_at_most_once(self):
        assert all(len(tokens) == 1 for tokens in self.dispatched.values())

    @invariant()
    def a_key_has_one_holder(self):
        keys = [claim.idempotency_key for _, claim in self.holders]
        assert len(keys) == len(set(keys))

    @invariant()
    def the_partition_is_bounded(self):
        assert len(self.versions[-1][1].entries) <= LEDGER.n_entries_max

    @invariant()
    def a_writer_with_work_is_busy(self):
        for index, waiting in enumerate(self.waiting):
            assert not waiting or self.calls[index] is not None, "a claim is stuck"


TestClaimProtocol = ClaimProtocol.TestCase
TestClaimProtocol.settings = settings(
    max_examples=N_EXAMPLES,
    stateful_step_count=60,
    deadline=None,
    derandomize="CHESTNUTHALL_FUZZ_EXAMPLES" not in os.environ,
    database=None,
)
