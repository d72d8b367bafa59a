"""Answers that are spoiled on purpose."""

import json

from chestnuthall.adapters.http import HttpResponse
from chestnuthall.standins.upstream._behaviour import UpstreamBehaviour

# Marks a response for the output filter; clients never see it acted on.
DELIVERY = b"x-delivery"
TWICE = b"twice"
CUT = b"cut"


def take(behaviour: UpstreamBehaviour, name: str) -> bool:
    """Count a fault down; return whether it is due."""
    n_left: int = getattr(behaviour, name)
    if n_left <= 0:
        return False
    setattr(behaviour, name, n_left - 1)
    return True


def spoil(behaviour: UpstreamBehaviour, response: HttpResponse) -> HttpResponse:
    """Return the answer with the faults that are due."""
    headers = dict(response.headers)
    body = response.body
    if take(behaviour, "n_crossed_answers"):
        headers[b"x-call-id"] = b"another-call"
    if take(behaviour, "n_short_answers"):
        decoded = json.loads(body)
        decoded["n_documents_searched"] //= 2
        body = json.dumps(decoded).encode()
    if take(behaviour, "n_truncated_answers"):
        headers[DELIVERY] = CUT
    elif take(behaviour, "n_duplicate_answers"):
        headers[DELIVERY] = TWICE
    return HttpResponse(response.status, headers, body)


def filter_output(response: HttpResponse, data: bytes) -> tuple[bytes, bool]:
    """Return the bytes to write and whether to close after them."""
    delivery = response.headers.get(DELIVERY)
    if delivery == CUT:
        return data[:-5], True
    if delivery == TWICE:
        return data + data, False
    return data, False
