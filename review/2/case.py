"""Second copies of earlier answers directly after complete answers."""

import asyncio
import sys
from collections import Counter
from pathlib import Path
from random import Random

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins.case import forward_route, has_trouble, run_case

SEED = 2
N_INSTANCES = 3
N_REPLICAS = 5
# Replicas that send additional bytes, and the share of their answers.
N_FAULTY = 2
SPOILED_RATIO = 0.022
# Length of one disruption and the time from one to the next.
TROUBLE_S, TROUBLE_EVERY_S = 6.0, 7.0
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

    def spoil(replica, request, answer):
        is_due = (loop.time() - started_s) % TROUBLE_EVERY_S < TROUBLE_S
        if not is_due or random.random() >= SPOILED_RATIO:
            return None
        request_id = request.headers.get("x-request-id")
        status = replica.last_answer[9:12].decode()
        deployment.record.add("additional-bytes", request_id, replica.name, status)
        return answer + replica.last_answer

    if has_trouble():
        for replica in deployment.replicas[:N_FAULTY]:
            replica.spoil = spoil
    clients = [
        deployment.run_holds(instance, PAUSE_S, started_s + DURATION_S, random)
        for instance in deployment.instances
        for _ in range(N_CLIENTS_PER_INSTANCE)
    ]
    await asyncio.gather(*clients)
    return find_breaches(deployment.record)


def find_breaches(record):
    """Return the requests that have run and were refused as not run."""
    status_by_id = {event[2]: event[4] for event in record.of_kind("run")}
    breaches = []
    for event in record.of_kind("answered"):
        request_id, status, stamp = event[2:5]
        ran_with = status_by_id.get(request_id)
        if ran_with is None or status not in NOT_RUN_STATUSES:
            continue
        breaches.append(
            f"REFUSED: {request_id} has run, its replica answered {ran_with}, and its "
            f"client got {status} with the signature {stamp}"
        )
    n_sent, n_rejected = len(record.of_kind("sent")), len(record.of_kind("rejected"))
    n_spoiled = len(record.of_kind("additional-bytes"))
    print(f"{n_sent} sent, {n_rejected} rejected, {n_spoiled} with additional bytes")
    print(Counter(event[3] for event in record.of_kind("answered")))
    return breaches


run_case(__file__, play)
