"""Checks of the guarantees, from the calls at replicas and the answers to callers.

Requests of the kind "hold" are not repeatable; those of the kind "sweep" are searches.
"""

from collections import Counter, defaultdict
from dataclasses import dataclass, field

N_RECORD_BYTES = 16
N_REPLICAS_MAX = 2
# Time from its drain notice in which a replica may still be called, and a margin for
# a busy machine.
DRAIN_S = 3.0
MARGIN_S = 1.0


@dataclass(slots=True)
class Evidence:
    """Recorded calls at replicas and answers to callers, with the violations found."""

    n_records_max: int = 3
    calls: dict = field(default_factory=lambda: defaultdict(list))
    bodies: dict = field(default_factory=dict)
    drain_notice_s: dict = field(default_factory=dict)
    violations: list = field(default_factory=list)
    results: Counter = field(default_factory=Counter)

    def record_call(self, request_id, service, replica, now_s):
        """Record that a replica has started to run a request."""
        self.calls[request_id].append((service, replica))
        drain_notice_s = self.drain_notice_s.get(replica)
        if drain_notice_s is not None and now_s > drain_notice_s + DRAIN_S + MARGIN_S:
            self.violations.append(f"{request_id} reached {replica} after its drain")

    def record_answer(self, request_id, kind, response):
        """Check the answer to a request; ``response`` is None if there was none."""
        self.results[(kind, getattr(response, "status", None))] += 1
        runs = self.calls.get(request_id, [])
        self._check_attempts(request_id, runs)
        if kind == "hold" and len(runs) > 1:
            self.violations.append(
                f"{request_id} may run once and ran {len(runs)} times"
            )
        if response is None:
            return
        if response.status in (429, 503) and runs and kind == "hold":
            self.violations.append(f"{request_id} was refused as not run, and had run")
        if response.status == 200 and kind == "sweep":
            self._check_search(request_id, response)

    def record_cut(self, request_id):
        """Record a request that got no answer, while its instance only stopped."""
        if self.calls.get(request_id):
            self.violations.append(
                f"{request_id} was passed on and cut off by a planned stop"
            )

    def _check_attempts(self, request_id, runs):
        by_service = defaultdict(set)
        for service, replica in runs:
            by_service[service].add(replica)
        for service, replicas in by_service.items():
            if len(replicas) > N_REPLICAS_MAX:
                self.violations.append(
                    f"{request_id} ran on {len(replicas)} replicas of {service}"
                )

    def _check_search(self, request_id, response):
        signatures = response.headers[b"x-part-stamps"].decode().split(", ")
        services = [signature.split("/")[0] for signature in signatures]
        if len(set(services)) != len(services):
            self.violations.append(f"{request_id} counts a shard twice")
        if any(signature.split("/")[2] != request_id for signature in signatures):
            self.violations.append(
                f"{request_id} has a shard answer of another request"
            )
        records = sorted(
            (
                body[i : i + N_RECORD_BYTES]
                for body in (
                    self.bodies[signature]
                    for signature in signatures
                    if signature in self.bodies
                )
                for i in range(0, len(body), N_RECORD_BYTES)
            ),
            reverse=True,
        )
        if response.body != b"".join(records[: self.n_records_max]):
            self.violations.append(
                f"{request_id} has other records than its shard answers"
            )
