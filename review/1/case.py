"""Late second copies of rejections, beside requests that must run once at most."""

import asyncio
import sys
from collections import Counter
from pathlib import Path
from random import Random

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins.case import forward_route, has_trouble, run_case

SEED = 1
N_INSTANCES = 3
N_REPLICAS = 5
# Replicas that send second copies, and the share of their answers.
N_FAULTY = 3
REPEATED_RATIO = 0.03
REPEAT_DELAY_S = (0.01, 0.06)
# Length of one disruption and the time from one to the next.
TROUBLE_S, TROUBLE_EVERY_S = 5.0, 6.0
DURATION_S = 60.0
N_CLIENTS_PER_INSTANCE = 12
PAUSE_S = 0.05
NOT_RUN_STATUSES = (408, 421, 429, 503)


async def play(deployment):
    random = Random(SEED)
    loop = asyncio.get_running_loop()
    for number in range(N_REPLICAS):
        await deployment.add_replica(f"i-{number}", "booking-ledger")
    route = forward_route("hold", "booking-ledger", "non_idempotent")
    deployment.configure(1, [route])
    await deployment.start_instances(N_INSTANCES)
    started_s = loop.time()

    def repeat_after_s(replica):
        is_due = (loop.time() - started_s) % TROUBLE_EVERY_S < TROUBLE_S
        if not is_due or random.random() >= REPEATED_RATIO:
            return None
        deployment.record.add("second-copy", replica.name)
        return random.uniform(*REPEAT_DELAY_S)

    if has_trouble():
        for replica in deployment.replicas[:N_FAULTY]:
            replica.repeat_after_s = repeat_after_s
    clients = [
        deployment.run_holds(instance, PAUSE_S, started_s + DURATION_S, random)
        for instance in deployment.instances
        for _ in range(N_CLIENTS_PER_INSTANCE)
    ]
    await asyncio.gather(*clients)
    return find_breaches(deployment.record)


def find_breaches(record):
    """Return the requests that ran twice, or ran and were refused as not run."""
    n_runs = Counter(event[2] for event in record.of_kind("run"))
    breaches = [
        f"TWICE: {request_id} ran {n} times"
        for request_id, n in n_runs.items()
        if n > 1
    ]
    for event in record.of_kind("answered"):
        request_id, status = event[2], event[3]
        if status in NOT_RUN_STATUSES and n_runs[request_id]:
            breaches.append(f"REFUSED: {request_id} has run and was answered {status}")
    n_sent, n_rejected = len(record.of_kind("sent")), len(record.of_kind("rejected"))
    n_copies = len(record.of_kind("second-copy"))
    print(f"{n_sent} sent, {n_rejected} rejected, {n_copies} second copies")
    print(Counter(event[3] for event in record.of_kind("answered")))
    return breaches


run_case(__file__, play)
