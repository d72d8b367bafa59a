"""Guards against instances that apply an older revision, or a document never accepted.

Two operators write by conditional update, with writes that take effect late and
delays between reading and writing. Three instances read, watch, receive
configurations from peers and restart, in any order.
"""

import os

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from chestnuthall.core import configuration as core
from chestnuthall.core.model import Configuration, EnvironmentDocument
from chestnuthall.services import ConfigurationManager

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
    """A configuration manager with its follower, started during the test."""

    def __init__(self):
        self.manager = ConfigurationManager("trial", None, None, None)
        self.applied = []
        self.manager.add_listener(lambda item: self.applied.append(item.revision))
        self.follower = core.ObjectFollower()
        self.action = core.ReadObject()


class ConfigurationProtocol(RuleBasedStateMachine):
    """``history`` is (version, configuration) of all writes that took effect."""

    @initialize()
    def start(self):
        self.now_ms = 0.0
        self.history = [(1, make_configuration(1, "first"))]
        self.trimmed_version = 0
        self.seen = [None, None]
        self.late_writes = []
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
            self.late_writes.append(write)
        else:
            self.perform_write(write)

    @rule(data=st.data())
    def perform_late_write(self, data):
        if self.late_writes:
            index = data.draw(st.integers(0, len(self.late_writes) - 1))
            self.perform_write(self.late_writes.pop(index))

    def perform_write(self, write):
        version, configuration = write
        if version == self.history[-1][0]:
            self.history.append((version + 1, configuration))

    @rule()
    def trim_history(self):
        self.trimmed_version = self.history[-1][0]

    def handle_event(self, instance, event):
        instance.action = instance.follower.handle(event)

    @rule(index=INSTANCES, n_behind=st.sampled_from([0, 0, 1, 3]))
    def answer(self, index, n_behind):
        """Answer a call; reads may be stale, watches start at the given version."""
        instance = self.instances[index]
        action = instance.action
        if isinstance(action, core.ReadObject):
            position = max(0, len(self.history) - 1 - n_behind)
            version, configuration = self.history[position]
            instance.manager.offer(configuration, "store")
            self.handle_event(instance, core.ObjectRead(self.now_ms, version))
        elif isinstance(action, core.Watch):
            self.answer_watch(instance, action.after_version)

    def answer_watch(self, instance, after):
        if after < self.trimmed_version:
            self.handle_event(instance, core.WatchHistoryTrimmed(self.now_ms))
            return
        version, configuration = self.history[-1]
        if version > after:
            instance.manager.offer(configuration, "store")
        is_empty = version <= after
        self.handle_event(
            instance,
            core.WatchEnded(self.now_ms, max(version, after), is_empty),
        )

    @rule(index=INSTANCES)
    def fail_call(self, index):
        instance = self.instances[index]
        if not isinstance(instance.action, core.Delay):
            self.handle_event(instance, core.StoreCallFailed(self.now_ms))

    @rule(index=INSTANCES, is_watcher=st.booleans())
    def end_delay(self, index, is_watcher):
        instance = self.instances[index]
        if isinstance(instance.action, core.Delay):
            self.now_ms += instance.action.duration_ms
            self.handle_event(instance, core.DelayEnded(self.now_ms, is_watcher, 0.0))

    @rule(sender=INSTANCES, receiver=INSTANCES)
    def offer_peer_configuration(self, sender, receiver):
        in_force = self.instances[sender].manager.in_force
        if in_force is not None:
            self.instances[receiver].manager.offer(in_force, "peer")

    @rule(receiver=INSTANCES, data=st.data())
    def offer_old_copy(self, receiver, data):
        """An operator's announcement or a stalled peer's answer arrives late."""
        old_copy = data.draw(st.sampled_from(self.history))[1]
        self.instances[receiver].manager.offer(old_copy, "announced")

    @rule(index=INSTANCES)
    def restart(self, index):
        self.instances[index] = Instance()

    @rule(index=INSTANCES)
    def catch_up(self, index):
        """While the store answers, a watcher gets the newest revision."""
        instance = self.instances[index]
        for _ in range(8):
            if isinstance(instance.action, core.Delay):
                self.end_delay(index, True)
            else:
                self.answer(index, 0)
        assert instance.manager.revision == self.history[-1][1].revision

    @invariant()
    def revisions_only_increase(self):
        for instance in self.instances:
            assert instance.applied == sorted(set(instance.applied))

    @invariant()
    def a_revision_has_one_document(self):
        accepted = {item.revision: item.digest for _, item in self.history}
        assert len(accepted) == len(self.history)
        for instance in self.instances:
            in_force = instance.manager.in_force
            assert in_force is None or accepted[in_force.revision] == in_force.digest


TestConfigurationProtocol = ConfigurationProtocol.TestCase
TestConfigurationProtocol.settings = settings(
    max_examples=N_EXAMPLES,
    stateful_step_count=50,
    deadline=None,
    derandomize="CHESTNUTHALL_FUZZ_EXAMPLES" not in os.environ,
    database=None,
)
