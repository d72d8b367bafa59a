"""The promises, checked from what callers and replicas saw."""

from collections import Counter, defaultdict
from dataclasses import dataclass, field

N_RECORD_BYTES = 16
N_REPLICAS_MAX = 2
# A replica may be called so long after its notice, and a margin for a busy machine.
DRAIN_S = 3.0
MARGIN_S = 1.0


@dataclass(slots=True)
class Evidence:
    """What was seen: calls at replicas, and answers at callers."""

    top: int = 3
    calls: dict = field(default_factory=lambda: defaultdict(list))
    bodies: dict = field(default_factory=dict)
    drained_s: dict = field(default_factory=dict)
    broken: list = field(default_factory=list)
    results: Counter = field(default_factory=Counter)

    def note_call(self, request_id, service, replica, now_s):
        """Note that a replica began to run a request."""
        self.calls[request_id].append((service, replica))
        drained_s = self.drained_s.get(replica)
        if drained_s is not None and now_s > drained_s + DRAIN_S + MARGIN_S:
            self.broken.append(f"{request_id} reached {replica} after its drain")

    def note_answer(self, request_id, kind, response):
        """Check one answer of an instance; ``response`` is None without any."""
        self.results[(kind, getattr(response, "status", None))] += 1
        runs = self.calls.get(request_id, [])
        self._check_attempts(request_id, runs)
        if kind == "hold" and len(runs) > 1:
            self.broken.append(f"{request_id} may run once and ran {len(runs)} times")
        if response is None:
            return
        if response.status in (429, 503) and runs and kind == "hold":
            self.broken.append(f"{request_id} was refused as not run, and had run")
        if response.status == 200 and kind == "sweep":
            self._check_search(request_id, response)

    def _check_attempts(self, request_id, runs):
        by_service = defaultdict(set)
        for service, replica in runs:
            by_service[service].add(replica)
        for service, replicas in by_service.items():
            if len(replicas) > N_REPLICAS_MAX:
                self.broken.append(f"{request_id} ran on {len(replicas)} of {service}")

    def _check_search(self, request_id, response):
        marks = response.headers[b"x-part-stamps"].decode().split(", ")
        services = [mark.split("/")[0] for mark in marks]
        if len(set(services)) != len(services):
            self.broken.append(f"{request_id} counts a shard twice")
        if any(mark.split("/")[2] != request_id for mark in marks):
            self.broken.append(f"{request_id} has a part of another request")
        records = sorted(
            (
                body[i : i + N_RECORD_BYTES]
                for body in (self.bodies[mark] for mark in marks if mark in self.bodies)
                for i in range(0, len(body), N_RECORD_BYTES)
            ),
            reverse=True,
        )
        if response.body != b"".join(records[: self.top]):
            self.broken.append(f"{request_id} has other records than its parts")
