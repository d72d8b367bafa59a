"""Guards configuration against any order of writes, reads, watches and offers.

Two operators write by conditional update, with late writes and pauses between
reading and writing. Three instances read, watch, hear peers and restart.
"""

import os

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from chestnuthall.core import configuration as core
from chestnuthall.core.model import Configuration, EnvironmentDocument
from chestnuthall.services import ConfigurationKeeper

N_EXAMPLES = int(os.environ.get("CHESTNUTHALL_FUZZ_EXAMPLES", "150"))
INSTANCES = st.integers(0, 2)
OPERATORS = st.integers(0, 1)


def make_configuration(revision, author):
    return Configuration(
        environment="trial",
        revision=revision,
        digest=f"{revision}-{author}",
        text="",
        document=EnvironmentDocument(classes=(), groups=()),
    )


class Instance:
    """A keeper with its follower, started at a moment of the test."""

    def __init__(self):
        self.keeper = ConfigurationKeeper("trial", None, None, None)
        self.applied = []
        self.keeper.on_change(lambda item: self.applied.append(item.revision))
        self.follower = core.ObjectFollower()
        self.action = core.ReadObject()


class ConfigurationProtocol(RuleBasedStateMachine):
    """``history`` holds (version, configuration) of all writes that landed."""

    @initialize()
    def start(self):
        self.now_ms = 0.0
        self.history = [(1, make_configuration(1, "first"))]
        self.trimmed_version = 0
        self.seen = [None, None]
        self.late = []
        self.instances = [Instance() for _ in range(3)]

    @rule(operator=OPERATORS)
    def read_as_operator(self, operator):
        self.seen[operator] = self.history[-1]

    @rule(operator=OPERATORS, is_late=st.booleans())
    def write_as_operator(self, operator, is_late):
        if self.seen[operator] is None:
            return
        version, current = self.seen[operator]
        write = (version, make_configuration(current.revision + 1, operator))
        if is_late:
            self.late.append(write)
        else:
            self.land(write)

    @rule(data=st.data())
    def land_late(self, data):
        if self.late:
            index = data.draw(st.integers(0, len(self.late) - 1))
            self.land(self.late.pop(index))

    def land(self, write):
        version, configuration = write
        if version == self.history[-1][0]:
            self.history.append((version + 1, configuration))

    @rule()
    def trim_history(self):
        self.trimmed_version = self.history[-1][0]

    def feed(self, instance, event):
        instance.action = instance.follower.handle(event)

    @rule(index=INSTANCES, n_behind=st.sampled_from([0, 0, 1, 3]))
    def answer(self, index, n_behind):
        """Answer a call; reads may be stale, watches start where they asked."""
        instance = self.instances[index]
        action = instance.action
        if isinstance(action, core.ReadObject):
            at = max(0, len(self.history) - 1 - n_behind)
            version, configuration = self.history[at]
            instance.keeper.offer(configuration, "store")
            self.feed(instance, core.ObjectRead(self.now_ms, version))
        elif isinstance(action, core.Watch):
            self.answer_watch(instance, action.after_version)

    def answer_watch(self, instance, after):
        if after < self.trimmed_version:
            self.feed(instance, core.WatchHistoryTrimmed(self.now_ms))
            return
        version, configuration = self.history[-1]
        if version > after:
            instance.keeper.offer(configuration, "store")
        is_empty = version <= after
        self.feed(instance, core.WatchEnded(self.now_ms, max(version, after), is_empty))

    @rule(index=INSTANCES)
    def fail_call(self, index):
        instance = self.instances[index]
        if not isinstance(instance.action, core.Delay):
            self.feed(instance, core.StoreCallFailed(self.now_ms))

    @rule(index=INSTANCES, is_watcher=st.booleans())
    def end_pause(self, index, is_watcher):
        instance = self.instances[index]
        if isinstance(instance.action, core.Delay):
            self.now_ms += instance.action.duration_ms
            self.feed(instance, core.DelayEnded(self.now_ms, is_watcher, 0.0))

    @rule(sender=INSTANCES, receiver=INSTANCES)
    def hear_peer(self, sender, receiver):
        in_force = self.instances[sender].keeper.in_force
        if in_force is not None:
            self.instances[receiver].keeper.offer(in_force, "peer")

    @rule(receiver=INSTANCES, data=st.data())
    def hear_old_copy(self, receiver, data):
        """An operator's announcement or a paused peer's answer arrives late."""
        copy = data.draw(st.sampled_from(self.history))[1]
        self.instances[receiver].keeper.offer(copy, "announced")

    @rule(index=INSTANCES)
    def restart(self, index):
        self.instances[index] = Instance()

    @rule(index=INSTANCES)
    def catch_up(self, index):
        """While the store answers, a watcher learns the newest revision."""
        instance = self.instances[index]
        for _ in range(8):
            if isinstance(instance.action, core.Delay):
                self.end_pause(index, True)
            else:
                self.answer(index, 0)
        assert instance.keeper.revision == self.history[-1][1].revision

    @invariant()
    def revisions_only_rise(self):
        for instance in self.instances:
            assert instance.applied == sorted(set(instance.applied))

    @invariant()
    def a_revision_is_one_document(self):
        accepted = {item.revision: item.digest for _, item in self.history}
        assert len(accepted) == len(self.history)
        for instance in self.instances:
            in_force = instance.keeper.in_force
            assert in_force is None or accepted[in_force.revision] == in_force.digest


TestConfigurationProtocol = ConfigurationProtocol.TestCase
TestConfigurationProtocol.settings = settings(
    max_examples=N_EXAMPLES,
    stateful_step_count=50,
    deadline=None,
    derandomize="CHESTNUTHALL_FUZZ_EXAMPLES" not in os.environ,
    database=None,
)
