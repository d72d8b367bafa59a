"""Fault injection into real processes under load: ``python -m benchmarks.faults``.

The run checks every answer and counts violations, all of which must be zero. It
starts its own processes on loopback and ends them. The seed determines the load and
the processes that fail.
"""

import asyncio
import json
import signal
import sys
from dataclasses import dataclass, field, replace
from pathlib import Path
from random import Random

from cyclopts import run

from chestnuthall.standins.fleet import FleetPlan, GroupPlan, JsonClient, LocalFleet
from chestnuthall.standins.fleet._fleet import RunningInstance, shard_keys
from chestnuthall.standins.load import AnswerChecker, LoadDriver, LoadPlan, LoadReport

DOCUMENT_PATH = Path(__file__).parents[1] / "examples" / "environment.jsonc"
SEARCH_GROUP = GroupPlan(name="planner-desk", n_shards=4, n_replicas=4)
MUTATION_GROUP = GroupPlan(name="booking-ledger", n_shards=1, n_replicas=3, n_slots=4)
REVISION_POLL_INTERVAL_S = 0.2
CRASHING_KEY = "z99999"
N_RESENDS = 6


@dataclass(slots=True)
class Observations:
    """Observations of the processes, apart from the answers to the load.

    ``disrupted_instances`` were killed or paused; connections lost to them are not
    counted as violations.
    """

    n_reverts: int = 0
    n_unclean_exits: int = 0
    n_replicas_crashed: int = 0
    disrupted_instances: set[str] = field(default_factory=set)
    mutations_run: list[str] = field(default_factory=list)
    final_revisions: list[int] = field(default_factory=list)


class FaultRun:
    """Injects faults one after another while load runs in the background."""

    def __init__(self, fleet: LocalFleet, seed: int) -> None:
        self.fleet = fleet
        self.random = Random(f"{seed}/faults")
        self.observations = Observations()
        self.revision = 1
        self._revisions: dict[int, int] = {}
        self._next_index = len(fleet.instances)

    def choose_instance(self) -> tuple[str, JsonClient]:
        """Return a random instance, as a load balancer with health checks would."""
        instance = self.random.choice(self.fleet.instances)
        return instance.name, instance.client

    async def watch_revisions(self) -> None:
        """Poll the configuration revision of every instance and count reverts."""
        while True:
            for instance in list(self.fleet.instances):
                reply = await instance.client.send(
                    "GET", "/v1/admin/status", timeout_s=0.5
                )
                if reply.status == 200:
                    self._record_revision(
                        instance, reply.body["configuration_revision"]
                    )
            await asyncio.sleep(REVISION_POLL_INTERVAL_S)

    def _record_revision(self, instance: RunningInstance, revision: int) -> None:
        pid = instance.process.pid
        if revision < self._revisions.get(pid, 0):
            self.observations.n_reverts += 1
        self._revisions[pid] = revision

    async def report_step(self, title: str) -> None:
        """Print the title of a step, then let the load continue for 1 s."""
        print(f"  {title}", file=sys.stderr, flush=True)
        await asyncio.sleep(1.0)

    async def kill_replica(self) -> None:
        """Kill a random replica with SIGKILL."""
        victim = self.random.choice(
            [item for item in self.fleet.replicas if item.group == SEARCH_GROUP.name]
        )
        victim.process.send_signal(signal.SIGKILL)
        await self.report_step(f"killed replica {victim.replica.name}")

    async def kill_instance(self) -> None:
        """Kill an instance with SIGKILL and start another one."""
        victim = self.fleet.instances.pop(0)
        self.observations.disrupted_instances.add(victim.name)
        victim.process.send_signal(signal.SIGKILL)
        await self.report_step(f"killed instance {victim.name}")
        await self.add_instance()

    async def add_instance(self) -> None:
        """Start an instance and add it to the load balancer once it is healthy."""
        instance = await self.fleet.start_instance(self._next_index)
        self._next_index += 1
        await instance.client.wait_for_status("/v1/health", 200)
        self.fleet.instances.append(instance)

    async def pause_instance(self) -> None:
        """Pause an instance for longer than any timeout, then resume it."""
        victim = self.fleet.instances[0]
        self.observations.disrupted_instances.add(victim.name)
        victim.process.send_signal(signal.SIGSTOP)
        await self.report_step(f"paused instance {victim.name}")
        await asyncio.sleep(6.0)
        victim.process.send_signal(signal.SIGCONT)
        await self.report_step(f"resumed instance {victim.name}")

    async def corrupt_answers(self) -> None:
        """Make replicas cross, truncate, duplicate, shorten and lose answers."""
        changes = {
            "n_crossed_answers": 10,
            "n_truncated_answers": 10,
            "n_duplicate_answers": 10,
            "n_short_answers": 5,
            "n_lost_answers": 2,
        }
        await self._change_replicas(SEARCH_GROUP.name, changes)
        await self.report_step("replicas return faulty answers")

    async def _change_replicas(self, group: str, changes: dict[str, object]) -> None:
        for item in self.fleet.replicas:
            if item.group == group and item.process.is_running:
                client = JsonClient(item.replica.address)
                await client.send("PUT", "/behaviour", changes)
                client.close()

    async def slow_replicas(self, factor: float) -> None:
        """Slow down every third replica by a factor."""
        for item in self.fleet.replicas[::3]:
            if item.process.is_running:
                client = JsonClient(item.replica.address)
                await client.send("PUT", "/behaviour", {"slow_factor": factor})
                client.close()
        await self.report_step(f"every third replica is {factor:g} times slower")

    async def swap_snapshot(self) -> None:
        """Replace the snapshot at all replicas at once, without keeping older ones."""
        current = self.fleet.partition_maps[SEARCH_GROUP.name]
        newer = replace(current, snapshot_id=current.snapshot_id + 1)
        await self.fleet.publish_snapshot(newer)
        await self.report_step(f"swapped the index to snapshot {newer.snapshot_id}")

    async def store_outage(self, duration_s: float) -> None:
        """Make the object store hang, refuse connections and answer 503 in turn."""
        for outage in ("hanging", "refused", "503"):
            outage_ms = duration_s * 1000.0
            await self._set_store_faults({"outage": outage, "outage_ms": outage_ms})
            await self.report_step(f"object store unavailable: {outage}")
            await asyncio.sleep(duration_s)
        await self.report_step("object store available again")

    async def _set_store_faults(self, faults: dict[str, object]) -> None:
        reply = await self.fleet.store.send("PUT", "/faults", faults)
        if reply.status != 200:
            raise RuntimeError(
                f"object store rejected the fault settings: {reply.body}"
            )

    async def disturb_store_writes(self) -> None:
        """Make store writes lose their answers, or complete after their time-out."""
        await self._set_store_faults({"n_lost_write_answers": 5})
        await self.report_step("five store writes lose their answers")
        await self._set_store_faults({"n_late_writes": 5, "late_write_ms": 1500.0})
        await self.report_step("five store writes complete 1.5 s late")

    async def send_crashing_request(self) -> None:
        """Send a lookup repeatedly that crashes every replica that runs it."""
        changes: dict[str, object] = {"crash_text": CRASHING_KEY}
        await self._change_replicas(SEARCH_GROUP.name, changes)
        n_before = self._n_running_replicas()
        for number in range(N_RESENDS):
            name, client = self.choose_instance()
            body = {
                "request_id": f"crash-{number}",
                "class": "planner",
                "group": SEARCH_GROUP.name,
                "key": CRASHING_KEY,
            }
            reply = await client.send("POST", "/v1/lookup", body)
            result = reply.body.get("result")
            print(f"    resend to {name}: {result}", file=sys.stderr)
        await asyncio.sleep(0.5)
        self.observations.n_replicas_crashed = n_before - self._n_running_replicas()
        await self.report_step(
            f"a request crashed {self.observations.n_replicas_crashed} replicas"
        )

    def _n_running_replicas(self) -> int:
        return sum(item.process.is_running for item in self.fleet.replicas)

    async def change_configuration(self) -> None:
        """Publish the next configuration revision."""
        self.revision += 1
        text = f"// revision {self.revision}\n{DOCUMENT_PATH.read_text()}"
        await self.fleet.put_document(text, self.revision)
        await self.report_step(f"accepted revision {self.revision}")

    async def rolling_restart(self) -> None:
        """Replace all instances one by one; none of them may lose a request."""
        for victim in list(self.fleet.instances):
            await self.add_instance()
            victim.process.send_signal(signal.SIGTERM)
            victim.process.send_signal(signal.SIGTERM)
            # The load balancer keeps sending for half of the leave notice.
            await asyncio.sleep(self.fleet.plan.leave_notice_ms / 2000.0)
            self.fleet.instances.remove(victim)
            if await victim.process.wait() != 0:
                self.observations.n_unclean_exits += 1
        await self.report_step("restarted every instance")

    async def collect(self) -> None:
        """Collect the mutations that replicas ran and the final revisions."""
        for item in self.fleet.replicas:
            if item.group == MUTATION_GROUP.name:
                client = JsonClient(item.replica.address)
                reply = await client.send("GET", "/record")
                self.observations.mutations_run += reply.body["mutations"]
                client.close()
        for instance in self.fleet.instances:
            reply = await instance.client.send("GET", "/v1/admin/status")
            self.observations.final_revisions.append(
                reply.body.get("configuration_revision", 0)
            )


async def _inject_faults(faults: FaultRun) -> None:
    await faults.report_step("load started")
    await faults.kill_replica()
    await faults.corrupt_answers()
    await faults.kill_instance()
    await faults.swap_snapshot()
    await faults.change_configuration()
    await faults.disturb_store_writes()
    await faults.slow_replicas(8.0)
    await faults.pause_instance()
    await faults.slow_replicas(1.0)
    await faults.store_outage(3.0)
    await faults.swap_snapshot()
    await faults.rolling_restart()
    await faults.send_crashing_request()
    await faults.change_configuration()
    await asyncio.sleep(8.0)


def _count_violations(faults: FaultRun, report: LoadReport) -> dict[str, int]:
    """Return the number of violations of each kind; all must be zero."""
    observations = faults.observations
    n_lost = sum(
        count
        for name, count in report.n_unanswered_by_instance.items()
        if name not in observations.disrupted_instances
    )
    run_counts = {
        key: observations.mutations_run.count(key) for key in report.run_states_by_key
    }
    n_false_not_run = sum(
        1
        for key, runs in report.run_states_by_key.items()
        if run_counts[key] > 0 and all(item == "no" for item in runs)
    )
    n_confirmed_not_run = sum(
        1
        for key, runs in report.run_states_by_key.items()
        if "yes" in runs and run_counts[key] == 0
    )
    return {
        "n_answers_lost": n_lost,
        "n_mixed_snapshots": report.violations["mixed_snapshot"],
        "n_wrong_coverage": report.violations["wrong_coverage"],
        "n_foreign_answers": report.violations["foreign_answer"],
        "n_doubled_mutations": sum(count > 1 for count in run_counts.values()),
        "n_false_not_run": n_false_not_run,
        "n_confirmed_but_not_run": n_confirmed_not_run,
        "n_configuration_reverts": observations.n_reverts,
        "n_instances_without_newest": sum(
            revision != faults.revision for revision in observations.final_revisions
        ),
        "n_unclean_exits": observations.n_unclean_exits,
        "n_replicas_crashed_beyond_two": max(0, observations.n_replicas_crashed - 2),
    }


async def _run(seed: int) -> int:
    plan = FleetPlan(
        groups=(SEARCH_GROUP, MUTATION_GROUP),
        document_text=DOCUMENT_PATH.read_text(),
        zones=("zone-a", "zone-b", "zone-c"),
        n_instances=4,
        leave_notice_ms=600.0,
    )
    keys = [
        key
        for index in range(SEARCH_GROUP.n_shards)
        for key in shard_keys(SEARCH_GROUP, index)
    ]
    load_plan = LoadPlan(
        search_group=SEARCH_GROUP.name,
        mutation_group=MUTATION_GROUP.name,
        lookup_keys=tuple(keys),
    )
    print(f"seed {seed}", file=sys.stderr)
    async with LocalFleet(plan) as fleet:
        faults = FaultRun(fleet, seed)
        driver = LoadDriver(
            load_plan,
            AnswerChecker(SEARCH_GROUP.name, keys),
            faults.choose_instance,
            seed,
        )
        load = asyncio.create_task(driver.run())
        revision_watch = asyncio.create_task(faults.watch_revisions())
        await _inject_faults(faults)
        driver.stop()
        report = await load
        revision_watch.cancel()
        await faults.collect()
    verdict = _count_violations(faults, report)
    ordered = sorted(report.latencies_ms)
    print(
        json.dumps(
            {
                "seed": seed,
                "verdict": verdict,
                "n_requests": report.n_requests,
                "n_mutations_run": len(faults.observations.mutations_run),
                "codes": dict(report.n_by_result),
                "p50_ms": round(ordered[len(ordered) // 2], 1),
                "p99_ms": round(ordered[int(len(ordered) * 0.99)], 1),
                "examples": report.violation_examples,
            },
            indent=2,
        )
    )
    return 1 if any(verdict.values()) else 0


def main(*, seed: int = 1) -> None:
    """Inject all faults with one seed; exit with status 1 on any violation."""
    sys.exit(asyncio.run(_run(seed)))


if __name__ == "__main__":
    run(main)
