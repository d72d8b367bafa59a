"""Runs the soak: ``python -m chestnuthall.platform.tests.soak --seed 1 --seeds 50``.

Prints one line of JSON per seed, with the violated guarantees and the results.
"""

import argparse
import asyncio
import itertools
import json
import os
import shutil
import signal
import subprocess
import sys
import tempfile
from collections import Counter
from contextlib import contextmanager
from pathlib import Path
from random import Random

from chestnuthall.adapters.http import (
    ConnectionPool,
    HttpRequest,
    HttpResponse,
    PoolSettings,
)
from chestnuthall.core.results import Failure
from chestnuthall.platform.tests.soak.checks import Evidence
from chestnuthall.platform.tests.soak.crashes import CrashingRequests
from chestnuthall.platform.tests.soak.proxy import FaultProxy, Mode
from chestnuthall.platform.tests.standins import (
    LOOPBACK,
    Deployment,
    forward_route,
    free_port,
    scatter_route,
)

# Zone "a" has enough instances that they follow a leader. The instances in zone "b"
# have no replicas in their zone and send their searches to peers.
ZONES = ("a", "a", "a", "a", "a", "b", "b")
N_INSTANCES = len(ZONES)
READY_TIMEOUT_S = 30.0
# Time without another fault before a stop that counts as calm.
CALM_BEFORE_STOP_S = 4.0
SERVICES = ("s0", "s1", "s2", "t")
N_REPLICAS = 3
DURATION_S = 10.0
KINDS = ("sweep", "sweep", "fetch", "hold")
REQUEST_TIMEOUT_S = 3.0
# Minimum ratio of callers' requests that must be served under continuous faults.
SERVED_RATIO_MIN = 0.5


class Instance:
    """An instance in its own process, connected to the store by its own proxy."""

    def __init__(self, number, zone, folder, store_port):
        self.number = number
        self.name = f"entry-{number}"
        self.zone = zone
        self.log = folder / f"{self.name}.log"
        self.settings = folder / f"{self.name}.jsonc"
        self.proxy = FaultProxy(store_port)
        self.process = None
        self.addresses = {}
        # Start of the stop in progress or of the last one.
        self.stops_since_s = None
        self._n_other_faults = 0
        self._last_other_fault_s = float("-inf")

    @contextmanager
    def fault(self, name):
        """Record a fault while it lasts; a stop is planned work, others are not."""
        loop = asyncio.get_running_loop()
        if name == "stop":
            self.stops_since_s = loop.time()
            yield
            return
        self._n_other_faults += 1
        try:
            yield
        finally:
            self._n_other_faults -= 1
            self._last_other_fault_s = loop.time()

    def had_other_fault_since(self, since_s):
        """Return whether a fault other than a stop came later than shortly before."""
        earliest_s = since_s - CALM_BEFORE_STOP_S
        return self._n_other_faults > 0 or self._last_other_fault_s > earliest_s

    async def prepare(self):
        await self.proxy.start()
        for name in ("caller", "ready", "metrics", "peer"):
            self.addresses[name] = f"{LOOPBACK}:{await free_port()}"

    def write_settings(self, seeds):
        values = {f"{name}_address": text for name, text in self.addresses.items()}
        values |= {
            "name": self.name,
            "zone": self.zone,
            "seed_addresses": seeds,
            "store_address": f"{LOOPBACK}:{self.proxy.port}",
            "store_settle_ms": 4000,
            "configuration_deadline_ms": 3000,
            "drain_ms": 3000,
            "grace_s": 6,
            "repeat_ratio": 0.2,
            "repeat_window_s": 10,
            "n_repeats_floor": 58,
        }
        self.settings.write_text(json.dumps(values))

    def start(self):
        if self.process is not None and self.process.poll() is None:
            # Another fault that waited for the same exit has already restarted it.
            return
        command = [sys.executable, "-m", "chestnuthall.platform", str(self.settings)]
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(command, stdout=log, stderr=log)

    def rename(self, name):
        """Give the next process another name."""
        values = json.loads(self.settings.read_text())
        self.name = name
        self.settings.write_text(json.dumps(values | {"name": name}))

    def send_signal(self, signal_number):
        if self.process.poll() is None:
            os.kill(self.process.pid, signal_number)

    async def wait_for_exit(self):
        await asyncio.get_running_loop().run_in_executor(None, self.process.wait)


class Soak:
    """One run of the soak: instances, callers, injected faults and checks."""

    def __init__(
        self,
        seed,
        folder,
        duration_s=DURATION_S,
        *,
        has_faults=True,
        n_instances=N_INSTANCES,
    ):
        self.n_instances = n_instances
        self.duration_s = duration_s
        self.has_faults = has_faults
        self.random = Random(seed)
        self.folder = folder
        self.deployment = Deployment()
        self.evidence = Evidence()
        self.instances = []
        self.n_requests = 0
        self.n_replicas = 0
        self.n_replaced = 0
        self.version = 1
        self.crashing = CrashingRequests(self)

    async def run(self):
        await self._set_up()
        loop = asyncio.get_running_loop()
        ends_at_s = loop.time() + self.duration_s
        tasks = [self._run_caller(ends_at_s) for _ in range(4)]
        tasks.append(self.crashing.run(ends_at_s))
        if self.has_faults:
            tasks += [self._inject_instance_faults(ends_at_s) for _ in range(2)]
            tasks.append(self._inject_upstream_faults(ends_at_s))
        try:
            await asyncio.gather(*tasks)
        finally:
            await self._tear_down()
        self.evidence.violations += self.crashing.evidence.violations()
        n_by_status = Counter()
        for (kind, status), n in self.evidence.results.items():
            if kind in KINDS:
                n_by_status[status] += n
        n_served, n_all = n_by_status[200], n_by_status.total()
        if n_served < SERVED_RATIO_MIN * n_all:
            self.evidence.violations.append(f"only {n_served} of {n_all} were served")
        return self.evidence

    async def _set_up(self):
        for service in SERVICES:
            for _ in range(N_REPLICAS):
                await self._add_replica(service, self.new_name(service))
        self._configure()
        store_port = await self.deployment.store.server.start(LOOPBACK, 0)
        self.instances = [
            Instance(number, zone, self.folder, store_port)
            for number, zone in enumerate(
                itertools.islice(itertools.cycle(ZONES), self.n_instances)
            )
        ]
        for instance in self.instances:
            await instance.prepare()
        seeds = [item.addresses["peer"] for item in self.instances[:3]]
        for instance in self.instances:
            instance.write_settings(seeds)
            instance.start()
        await self.deployment.wait_until(self._have_configuration, READY_TIMEOUT_S)

    def _have_configuration(self):
        logs = (item.log.read_bytes() for item in self.instances)
        return all(b"configuration_in_force" in log for log in logs)

    def new_name(self, service):
        """Return a name for a replica that none has had before."""
        self.n_replicas += 1
        return f"{service}r{self.n_replicas}"

    async def _add_replica(self, service, name):
        records = b"".join(self.random.randbytes(16) for _ in range(4))
        replica = await self.deployment.add_replica(name, service, records)
        replica.respond = lambda request: self._respond(replica, request)
        self.crashing.prepare(replica)

    def _respond(self, replica, request):
        request_id = request.headers[b"x-request-id"].decode()
        now_s = asyncio.get_running_loop().time()
        self.evidence.record_call(request_id, replica.service, replica.name, now_s)
        if replica.fault == "drop":
            return None
        if replica.fault == "shed":
            self.evidence.calls[request_id].pop()
            headers = {b"x-not-executed": b"1", b"x-request-id": request_id.encode()}
            return HttpResponse(503, headers)
        signature = f"{replica.service}/{replica.name}/{request_id}"
        self.evidence.bodies[signature] = replica.records
        echoed = b"crossed" if replica.fault == "cross" else request_id.encode()
        headers = {b"x-server-stamp": signature.encode(), b"x-request-id": echoed}
        return HttpResponse(200, headers, replica.records)

    def _configure(self):
        self.deployment.configure(
            self.version,
            [
                scatter_route(SERVICES[:3]),
                forward_route("t"),
                forward_route(
                    "t", Name="hold", PathPrefix="/hold/", Kind="non_idempotent"
                ),
            ],
        )

    async def _run_caller(self, ends_at_s):
        loop = asyncio.get_running_loop()
        pools = {}
        while loop.time() < ends_at_s:
            instance = self.random.choice(self.instances)
            address = instance.addresses["caller"]
            pool = pools.setdefault(address, ConnectionPool(address, PoolSettings()))
            self.n_requests += 1
            request_id = f"q{self.n_requests}"
            kind = self.random.choice(KINDS)
            sent_s = loop.time()
            response = await self.send(pool, kind, request_id)
            self.evidence.record_answer(request_id, kind, response)
            if response is None and self._is_cut_by_a_stop(instance, sent_s):
                self.evidence.record_cut(request_id)
            await asyncio.sleep(self.random.uniform(0.0, 0.03))
        for pool in pools.values():
            pool.close()

    def _is_cut_by_a_stop(self, instance, sent_s):
        """Return whether nothing but a stop can explain a lost answer."""
        if instance.stops_since_s is None:
            return False
        return not instance.had_other_fault_since(min(sent_s, instance.stops_since_s))

    async def send(self, pool, kind, request_id, target_name=""):
        """Send one request and return the response, or None if there is none."""
        connection = await pool.acquire(500.0)
        if isinstance(connection, Failure):
            return None
        headers = {
            b"host": b"h.example",
            b"x-request-id": request_id.encode(),
            b"x-request-deadline-ms": b"800",
        }
        target = f"/{kind}/{target_name or request_id}"
        request = HttpRequest("GET", target, headers)
        try:
            async with asyncio.timeout(REQUEST_TIMEOUT_S):
                response = await connection.request(request)
        except TimeoutError:
            connection.close()
            return None
        finally:
            pool.release(connection)
        return None if isinstance(response, Failure) else response

    async def _inject_instance_faults(self, ends_at_s):
        loop = asyncio.get_running_loop()
        while loop.time() < ends_at_s:
            await asyncio.sleep(self.random.uniform(0.2, 1.5))
            instance = self.random.choice(self.instances)
            fault = self.random.choice(
                (
                    "pause",
                    "kill",
                    "stop",
                    "replace",
                    "silent",
                    "one_way",
                    "reset",
                    "delay",
                )
            )
            with (
                self.crashing.evidence.disturbance(instance.number),
                instance.fault(fault),
            ):
                await getattr(self, f"_{fault}")(instance)

    async def _pause(self, instance):
        instance.send_signal(signal.SIGSTOP)
        await asyncio.sleep(self.random.uniform(0.1, 1.0))
        instance.send_signal(signal.SIGCONT)

    async def _kill(self, instance):
        instance.send_signal(signal.SIGKILL)
        await instance.wait_for_exit()
        instance.start()

    async def _replace(self, instance):
        """End an instance without notice and start one under another name."""
        instance.send_signal(signal.SIGKILL)
        await instance.wait_for_exit()
        self.n_replaced += 1
        instance.rename(f"entry-{self.n_instances + self.n_replaced}")
        instance.start()

    async def _stop(self, instance):
        instance.send_signal(signal.SIGTERM)
        if self.random.random() < 0.5:
            instance.send_signal(signal.SIGTERM)
        await instance.wait_for_exit()
        instance.start()

    async def _silent(self, instance):
        await self._apply_proxy_mode(instance, Mode.SILENT)

    async def _one_way(self, instance):
        await self._apply_proxy_mode(instance, Mode.ONE_WAY)

    async def _delay(self, instance):
        await self._apply_proxy_mode(instance, Mode.DELAY)

    async def _apply_proxy_mode(self, instance, mode):
        instance.proxy.set_mode(mode)
        await asyncio.sleep(self.random.uniform(0.2, 2.0))
        instance.proxy.set_mode(Mode.PASS)

    async def _reset(self, instance):
        instance.proxy.reset_all()

    async def _inject_upstream_faults(self, ends_at_s):
        loop = asyncio.get_running_loop()
        while loop.time() < ends_at_s:
            await asyncio.sleep(self.random.uniform(0.1, 0.6))
            replica = self.random.choice(list(self.deployment.replicas.values()))
            fault = self.random.choice(
                ("drop", "shed", "cross", "slow", "drain", "change", "outage")
            )
            if fault == "change":
                self.version += self.random.randint(1, 3)
                self._configure()
            elif fault == "outage":
                with self.crashing.evidence.disturbance("store"):
                    self.deployment.store.is_unavailable = True
                    await asyncio.sleep(self.random.uniform(0.1, 1.0))
                    self.deployment.store.is_unavailable = False
            elif fault == "drain":
                await self._drain(replica)
            else:
                replica.fault = fault
                replica.delay_s = 0.3 if fault == "slow" else 0.0
                await asyncio.sleep(self.random.uniform(0.1, 0.8))
                replica.fault = ""
                replica.delay_s = 0.0

    async def _drain(self, replica):
        """Drain a replica and add another one in its place."""
        if replica.name in self.evidence.drain_notice_s:
            return
        await self._add_replica(replica.service, self.new_name(replica.service))
        if not replica.server.is_listening:
            return
        put = self.deployment.store.put
        put("servers", replica.name, replica.entry(State="draining", Sequence=2))
        self.evidence.drain_notice_s[replica.name] = asyncio.get_running_loop().time()

    async def _tear_down(self):
        for instance in self.instances:
            instance.send_signal(signal.SIGCONT)
            instance.send_signal(signal.SIGKILL)
            await instance.wait_for_exit()
            await instance.proxy.close()
        await self.deployment.close()


def main():
    """Run the seeds one after the other; exit with 1 if a guarantee was violated."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--duration-s", type=float, default=DURATION_S)
    parser.add_argument("--instances", type=int, default=N_INSTANCES)
    parser.add_argument("--calm", action="store_true", help="inject no faults")
    parser.add_argument("--logs", type=Path, help="folder that keeps the logs")
    arguments = parser.parse_args()
    n_failed = 0
    for seed in range(arguments.seed, arguments.seed + arguments.seeds):
        with tempfile.TemporaryDirectory() as folder:
            soak = Soak(
                seed,
                Path(folder),
                arguments.duration_s,
                has_faults=not arguments.calm,
                n_instances=arguments.instances,
            )
            evidence = asyncio.run(soak.run())
            if arguments.logs is not None:
                shutil.copytree(folder, arguments.logs / f"seed-{seed}")
        counts = sorted(evidence.results.items(), key=str)
        results = {f"{kind} {status}": n for (kind, status), n in counts}
        report = {
            "seed": seed,
            "broken": evidence.violations,
            "results": results,
            "crashes": soak.crashing.evidence.timeline(),
        }
        print(json.dumps(report), flush=True)
        n_failed += bool(evidence.violations)
    raise SystemExit(1 if n_failed else 0)


if __name__ == "__main__":
    main()
