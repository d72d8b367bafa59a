"""Faults that are injected into the answers of the upstream emulator."""

import json

from chestnuthall.adapters.http import HttpResponse
from chestnuthall.standins.upstream._behaviour import UpstreamBehaviour

# Response header that selects the fault of the output filter; clients ignore it.
DELIVERY_HEADER = b"x-delivery"
DUPLICATE = b"twice"
TRUNCATE = b"cut"


def consume_fault(behaviour: UpstreamBehaviour, name: str) -> bool:
    """Return whether a fault is due, and decrement its counter if so."""
    n_left: int = getattr(behaviour, name)
    if n_left <= 0:
        return False
    setattr(behaviour, name, n_left - 1)
    return True


def apply_answer_faults(
    behaviour: UpstreamBehaviour, response: HttpResponse
) -> HttpResponse:
    """Return the response with the faults that are due."""
    headers = dict(response.headers)
    body = response.body
    if consume_fault(behaviour, "n_crossed_answers"):
        headers[b"x-call-id"] = b"another-call"
    if consume_fault(behaviour, "n_short_answers"):
        decoded = json.loads(body)
        decoded["n_documents_searched"] //= 2
        body = json.dumps(decoded).encode()
    if consume_fault(behaviour, "n_truncated_answers"):
        headers[DELIVERY_HEADER] = TRUNCATE
    elif consume_fault(behaviour, "n_duplicate_answers"):
        headers[DELIVERY_HEADER] = DUPLICATE
    return HttpResponse(response.status, headers, body)


def filter_output(response: HttpResponse, data: bytes) -> tuple[bytes, bool]:
    """Return the bytes to write and whether to close the connection afterwards."""
    delivery = response.headers.get(DELIVERY_HEADER)
    if delivery == TRUNCATE:
        return data[:-5], True
    if delivery == DUPLICATE:
        return data + data, False
    return data, False
