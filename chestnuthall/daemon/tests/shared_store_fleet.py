"""Services of several instances that share an in-memory store, in virtual time."""

import asyncio
from dataclasses import dataclass, field
from random import Random

from chestnuthall.adapters.clock import LoopClock
from chestnuthall.adapters.documents import (
    ConfigurationModel,
    JsonPartitionCodec,
    document_digest,
    encode_configuration,
    read_configuration,
)
from chestnuthall.adapters.metrics import NullMetrics
from chestnuthall.core.claims import LedgerSettings
from chestnuthall.core.model import MutationRequest
from chestnuthall.core.results import Failure
from chestnuthall.services import (
    ClaimLedger,
    ConfigurationManager,
    CountingObjectStore,
)
from chestnuthall.standins.objectapi import MemoryObjectStore, ObjectService

ENVIRONMENT = "trial"
DOCUMENT = (
    '{"classes": {"planner": {"share": 1, "deadline_ms": 1000}},'
    ' "groups": {"desk": {"n_slots": 3, "n_connections_max": 30}}}'
)


def configuration_text(revision, document=DOCUMENT, environment=ENVIRONMENT):
    return encode_configuration(
        ConfigurationModel(
            environment=environment,
            revision=revision,
            digest=document_digest(document),
            text=document,
        )
    )


def mutation(key, issued_at_ms, deadline_ms, request_id="r", arrived_ms=0.0):
    return MutationRequest(
        request_id=request_id,
        class_name="planner",
        group="desk",
        arrived_ms=arrived_ms,
        deadline_ms=deadline_ms,
        fingerprint=key,
        key="k",
        payload="",
        idempotency_key=key,
        issued_at_ms=issued_at_ms,
    )


@dataclass
class SharedStoreFleet:
    """Claim ledgers and configuration managers of ``n_instances`` instances.

    The wall clock is the loop's time plus one hour.
    """

    n_instances: int = 3
    ledger_settings: LedgerSettings = field(default_factory=LedgerSettings)
    watchers: tuple[int, ...] = (0, 1, 2)
    seed: int = 1

    def __post_init__(self):
        self.service = ObjectService()
        self.clock = LoopClock(3_600_000.0, wall_from_loop=True)
        self.clients = [
            MemoryObjectStore(self.service) for _ in range(self.n_instances)
        ]
        self.stores = [
            CountingObjectStore(client, NullMetrics(), self.clock)
            for client in self.clients
        ]
        self.ledgers = [self.new_ledger(index) for index in range(self.n_instances)]
        self.managers = [self.new_manager(index) for index in range(self.n_instances)]
        self.dispatched = {}
        self.refused = {}

    def new_ledger(self, index):
        return ClaimLedger(
            self.stores[index],
            self.clock,
            JsonPartitionCodec(),
            self.ledger_settings,
            lambda: self.n_instances,
            Random(self.seed + index),
        )

    def new_manager(self, index):
        async def fetch_from_peers():
            return [
                manager.in_force.stored_text
                for other, manager in enumerate(self.managers)
                if other != index and manager.in_force is not None
            ]

        return ConfigurationManager(
            ENVIRONMENT,
            self.stores[index],
            self.clock,
            read_configuration,
            fetch_from_peers,
            lambda: index in self.watchers,
        )

    async def mutate(self, index, key, name, deadline_ms=1_000.0, is_refused=False):
        """Claim a key at an instance, then record a dispatch or abandon the claim."""
        now_ms = self.clock.now_ms()
        ledger = self.ledgers[index]
        request = mutation(key, self.clock.wall_ms(), now_ms + deadline_ms, name)
        claim = await ledger.claim(request)
        if isinstance(claim, Failure):
            self.refused[name] = claim.kind
        elif is_refused:
            ledger.abandon(claim)
        else:
            self.dispatched.setdefault(key, []).append(name)
        return claim

    async def accept(self, revision, document=DOCUMENT):
        """Write a revision as the operators' command does and return its text."""
        text = configuration_text(revision, document)
        self.service.table.put("environments", ENVIRONMENT, text, None)
        return text

    async def run_peer_exchange(self):
        """Exchange configurations and confirmations between peers once a second."""
        random = Random(self.seed)
        while True:
            await asyncio.sleep(1.0)
            for manager in self.managers:
                other = random.choice(self.managers)
                self.send_configuration(other, manager)
                self.send_configuration(manager, other)

    @staticmethod
    def send_configuration(sender, receiver):
        if sender.in_force is not None:
            receiver.offer_text(sender.in_force.stored_text, "peer")
            receiver.confirm(sender.revision, sender.confirmation_age_ms)
