"""Faults against real processes under load: ``python -m benchmarks.faults``.

The run counts, over every answer, what must never happen. It starts its own
processes on loopback and ends them; the seed decides the load and the victims.
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
from chestnuthall.standins.fleet._fleet import RunningInstance, keys_of_shard
from chestnuthall.standins.load import AnswerChecker, LoadDriver, LoadPlan, LoadReport

DOCUMENT = Path(__file__).parents[1] / "examples" / "environment.jsonc"
SEARCH = GroupPlan(name="planner-desk", n_shards=4, n_replicas=4)
LEDGER = GroupPlan(name="booking-ledger", n_shards=1, n_replicas=3, n_slots=4)
WATCH_INTERVAL_S = 0.2
CRASHING_KEY = "z99999"
N_RESENDS = 6


@dataclass(slots=True)
class Observations:
    """What was seen besides the answers."""

    n_reverts: int = 0
    n_unclean_exits: int = 0
    n_replicas_crashed: int = 0
    excused: set[str] = field(default_factory=set)
    mutations_run: list[str] = field(default_factory=list)
    final_revisions: list[int] = field(default_factory=list)


class FaultRun:
    """One run: load in the background, faults one after another."""

    def __init__(self, fleet: LocalFleet, seed: int) -> None:
        self.fleet = fleet
        self.random = Random(f"{seed}/faults")
        self.seen = Observations()
        self.revision = 1
        self._revisions: dict[int, int] = {}
        self._next_index = len(fleet.instances)

    def choose(self) -> tuple[str, JsonClient]:
        """Return an instance as a balancer with health checks would."""
        instance = self.random.choice(self.fleet.instances)
        return instance.name, instance.client

    async def watch_revisions(self) -> None:
        """Note every revision that goes back at an instance."""
        while True:
            for instance in list(self.fleet.instances):
                reply = await instance.client.send(
                    "GET", "/v1/admin/status", timeout_s=0.5
                )
                if reply.status == 200:
                    self._note_revision(instance, reply.body["configuration_revision"])
            await asyncio.sleep(WATCH_INTERVAL_S)

    def _note_revision(self, instance: RunningInstance, revision: int) -> None:
        pid = instance.process.pid
        if revision < self._revisions.get(pid, 0):
            self.seen.n_reverts += 1
        self._revisions[pid] = revision

    async def step(self, title: str) -> None:
        """Print a step and let the load go on for a moment."""
        print(f"  {title}", file=sys.stderr, flush=True)
        await asyncio.sleep(1.0)

    async def kill_replica(self) -> None:
        """End a replica by SIGKILL."""
        victim = self.random.choice(
            [item for item in self.fleet.replicas if item.group == SEARCH.name]
        )
        victim.process.send_signal(signal.SIGKILL)
        await self.step(f"killed replica {victim.replica.name}")

    async def kill_instance(self) -> None:
        """End an instance by SIGKILL and start another one."""
        victim = self.fleet.instances.pop(0)
        self.seen.excused.add(victim.name)
        victim.process.send_signal(signal.SIGKILL)
        await self.step(f"killed instance {victim.name}")
        await self.add_instance()

    async def add_instance(self) -> None:
        """Start one more instance and give it load once it is ready."""
        instance = await self.fleet.start_instance(self._next_index)
        self._next_index += 1
        await instance.client.wait_for_status("/v1/health", 200)
        self.fleet.instances.append(instance)

    async def pause_instance(self) -> None:
        """Stop an instance for longer than any timeout, then let it go on."""
        victim = self.fleet.instances[0]
        self.seen.excused.add(victim.name)
        victim.process.send_signal(signal.SIGSTOP)
        await self.step(f"paused instance {victim.name}")
        await asyncio.sleep(6.0)
        victim.process.send_signal(signal.SIGCONT)
        await self.step(f"resumed instance {victim.name}")

    async def spoil_answers(self) -> None:
        """Let replicas cross, cut, double, shorten and lose answers."""
        changes = {
            "n_crossed_answers": 10,
            "n_truncated_answers": 10,
            "n_duplicate_answers": 10,
            "n_short_answers": 5,
            "n_lost_answers": 2,
        }
        await self._change_replicas(SEARCH.name, changes)
        await self.step("replicas spoil answers")

    async def _change_replicas(self, group: str, changes: dict[str, object]) -> None:
        for item in self.fleet.replicas:
            if item.group == group and item.process.is_running:
                client = JsonClient(item.replica.address)
                await client.send("PUT", "/behaviour", changes)
                client.close()

    async def slow_replicas(self, factor: float) -> None:
        """Slow every third replica down."""
        for item in self.fleet.replicas[::3]:
            if item.process.is_running:
                client = JsonClient(item.replica.address)
                await client.send("PUT", "/behaviour", {"slow_factor": factor})
                client.close()
        await self.step(f"every third replica is {factor:g} times slower")

    async def swap_snapshot(self) -> None:
        """Replace the snapshot everywhere at once, keeping no older one."""
        current = self.fleet.partition_maps[SEARCH.name]
        newer = replace(current, snapshot_id=current.snapshot_id + 1)
        await self.fleet.publish_snapshot(newer)
        await self.step(f"swapped the index to snapshot {newer.snapshot_id}")

    async def store_outage(self, duration_s: float) -> None:
        """Let the store hang, refuse connections and answer 503 in turn."""
        for outage in ("hanging", "refused", "503"):
            outage_ms = duration_s * 1000.0
            await self._set_store_faults({"outage": outage, "outage_ms": outage_ms})
            await self.step(f"the store is down: {outage}")
            await asyncio.sleep(duration_s)
        await self.step("the store is back")

    async def _set_store_faults(self, faults: dict[str, object]) -> None:
        reply = await self.fleet.store.send("PUT", "/faults", faults)
        if reply.status != 200:
            raise RuntimeError(f"the store did not take its faults: {reply.body}")

    async def lose_write_answers(self) -> None:
        """Let writes take effect without an answer, or after their client gave up."""
        await self._set_store_faults({"n_lost_write_answers": 5})
        await self.step("five store writes lose their answers")
        await self._set_store_faults({"n_late_writes": 5, "late_write_ms": 1500.0})
        await self.step("five store writes land 1.5 s late")

    async def crash_by_request(self) -> None:
        """Resend a lookup that crashes each replica that runs it."""
        changes: dict[str, object] = {"crash_text": CRASHING_KEY}
        await self._change_replicas(SEARCH.name, changes)
        n_before = self._n_running_replicas()
        for number in range(N_RESENDS):
            name, client = self.choose()
            body = {
                "request_id": f"crash-{number}",
                "class": "planner",
                "group": SEARCH.name,
                "key": CRASHING_KEY,
            }
            reply = await client.send("POST", "/v1/lookup", body)
            result = reply.body.get("result")
            print(f"    resend to {name}: {result}", file=sys.stderr)
        await asyncio.sleep(0.5)
        self.seen.n_replicas_crashed = n_before - self._n_running_replicas()
        await self.step(f"a request crashed {self.seen.n_replicas_crashed} replicas")

    def _n_running_replicas(self) -> int:
        return sum(item.process.is_running for item in self.fleet.replicas)

    async def change_configuration(self) -> None:
        """Put the next revision in force."""
        self.revision += 1
        text = f"// revision {self.revision}\n{DOCUMENT.read_text()}"
        await self.fleet.put_document(text, self.revision)
        await self.step(f"accepted revision {self.revision}")

    async def rolling_restart(self) -> None:
        """Replace every instance, one after another, without losing requests."""
        for victim in list(self.fleet.instances):
            await self.add_instance()
            victim.process.send_signal(signal.SIGTERM)
            victim.process.send_signal(signal.SIGTERM)
            # The balancer keeps sending for a part of the leave notice.
            await asyncio.sleep(self.fleet.plan.leave_notice_ms / 2000.0)
            self.fleet.instances.remove(victim)
            if await victim.process.wait() != 0:
                self.seen.n_unclean_exits += 1
        await self.step("restarted every instance")

    async def collect(self) -> None:
        """Read the mutations that replicas ran, and the final revisions."""
        for item in self.fleet.replicas:
            if item.group == LEDGER.name:
                client = JsonClient(item.replica.address)
                reply = await client.send("GET", "/record")
                self.seen.mutations_run += reply.body["mutations"]
                client.close()
        for instance in self.fleet.instances:
            reply = await instance.client.send("GET", "/v1/admin/status")
            self.seen.final_revisions.append(
                reply.body.get("configuration_revision", 0)
            )


async def _inject(faults: FaultRun) -> None:
    await faults.step("load has begun")
    await faults.kill_replica()
    await faults.spoil_answers()
    await faults.kill_instance()
    await faults.swap_snapshot()
    await faults.change_configuration()
    await faults.lose_write_answers()
    await faults.slow_replicas(8.0)
    await faults.pause_instance()
    await faults.slow_replicas(1.0)
    await faults.store_outage(3.0)
    await faults.swap_snapshot()
    await faults.rolling_restart()
    await faults.crash_by_request()
    await faults.change_configuration()
    await asyncio.sleep(8.0)


def _verdict(faults: FaultRun, report: LoadReport) -> dict[str, int]:
    """Return the counts that must all be zero."""
    seen = faults.seen
    n_lost = sum(
        count
        for name, count in report.n_unanswered_by_instance.items()
        if name not in seen.excused
    )
    run_counts = {
        key: seen.mutations_run.count(key) for key in report.run_states_by_key
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
        "n_configuration_reverts": seen.n_reverts,
        "n_instances_without_newest": sum(
            revision != faults.revision for revision in seen.final_revisions
        ),
        "n_unclean_exits": seen.n_unclean_exits,
        "n_replicas_crashed_beyond_two": max(0, seen.n_replicas_crashed - 2),
    }


async def _run(seed: int) -> int:
    plan = FleetPlan(
        groups=(SEARCH, LEDGER),
        document_text=DOCUMENT.read_text(),
        zones=("zone-a", "zone-b", "zone-c"),
        n_instances=4,
        leave_notice_ms=600.0,
    )
    keys = [
        key for index in range(SEARCH.n_shards) for key in keys_of_shard(SEARCH, index)
    ]
    load_plan = LoadPlan(
        search_group=SEARCH.name, mutation_group=LEDGER.name, lookup_keys=tuple(keys)
    )
    print(f"seed {seed}", file=sys.stderr)
    async with LocalFleet(plan) as fleet:
        faults = FaultRun(fleet, seed)
        driver = LoadDriver(
            load_plan, AnswerChecker(SEARCH.name, keys), faults.choose, seed
        )
        load = asyncio.create_task(driver.run())
        watch = asyncio.create_task(faults.watch_revisions())
        await _inject(faults)
        driver.stop()
        report = await load
        watch.cancel()
        await faults.collect()
    verdict = _verdict(faults, report)
    ordered = sorted(report.latencies_ms)
    print(
        json.dumps(
            {
                "seed": seed,
                "verdict": verdict,
                "n_requests": report.n_requests,
                "n_mutations_run": len(faults.seen.mutations_run),
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
    """Run all faults with one seed; exit 1 if a count is not zero."""
    sys.exit(asyncio.run(_run(seed)))


if __name__ == "__main__":
    run(main)
