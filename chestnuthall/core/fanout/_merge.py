"""Merge shard answers and compute the coverage of the result."""

from collections.abc import Iterable, Mapping, Sequence
from functools import singledispatch
from heapq import merge, nlargest
from itertools import chain, islice
from struct import iter_unpack

from chestnuthall.core.model import (
    Coverage,
    ForwardRequest,
    Hit,
    Reply,
    Request,
    ScatterRequest,
    Shard,
    ShardAnswer,
)


def _rank(hit: Hit) -> tuple[float, str]:
    return (-hit.score, hit.key)


def merge_hits(
    answers: Iterable[ShardAnswer], n_hits_max: int | None
) -> tuple[Hit, ...]:
    """Return the best hits of all shard answers, best first."""
    ranked = (sorted(answer.hits, key=_rank) for answer in answers)
    return tuple(islice(merge(*ranked, key=_rank), n_hits_max))


@singledispatch
def merge_replies(request: Request, replies: Sequence[Reply]) -> Reply | None:
    """Return the reply to a relayed request; None for other kinds of request."""
    return None


@merge_replies.register
def _(request: ForwardRequest, replies: Sequence[Reply]) -> Reply | None:
    return replies[0] if replies else None


@merge_replies.register
def _(request: ScatterRequest, replies: Sequence[Reply]) -> Reply | None:
    bodies = [reply.body for reply in replies]
    merged = merge_records(bodies, request.n_records_max, request.n_record_bytes)
    return Reply(200, (), merged)


@singledispatch
def error_reply_of(request: Request, reply: Reply | None) -> Reply | None:
    """Return the error reply to pass on to the caller, or None.

    Only a forwarded request passes it on, as a single replica answers it.
    """
    return None


@error_reply_of.register
def _(request: ForwardRequest, reply: Reply | None) -> Reply | None:
    return reply


def merge_records(
    bodies: Iterable[bytes], n_records_max: int, n_record_bytes: int
) -> bytes:
    """Return the greatest records of all bodies, greatest first.

    Records have a fixed size and are compared byte by byte; duplicates are
    kept. A trailing remainder shorter than a record is ignored.

    Examples
    --------
    >>> merge_records([b"aacc", b"bbddx"], 3, 2)
    b'ddccbb'
    """
    # iter_unpack avoids a Python-level slice per record. The slices of one search
    # took as long as ten of its calls.
    complete_records = b"".join(
        body[: len(body) - len(body) % n_record_bytes] for body in bodies
    )
    records = chain.from_iterable(iter_unpack(f"{n_record_bytes}s", complete_records))
    return b"".join(nlargest(n_records_max, records))


def coverage_of(
    shards: Sequence[Shard], answers: Mapping[str, ShardAnswer]
) -> Coverage:
    """Return the coverage of the merged answers, which are keyed by shard id.

    If a replica reports more documents than the map assigns to the shard, the
    map's number counts; if it reports fewer, the reported number counts. Each
    member of a shard set has one document.
    """
    n_covered = 0
    n_shards_covered = 0
    missing = []
    for shard in shards:
        answer = answers.get(shard.shard_id)
        n_searched = 0 if answer is None else answer.n_documents_searched
        n_covered += min(n_searched, shard.n_documents)
        if answer is not None and n_searched >= shard.n_documents:
            n_shards_covered += max(1, len(shard.shards))
        else:
            n_shards_covered += min(n_searched, len(shard.shards))
            missing.append(shard.key_range)
    return Coverage(
        n_documents_covered=n_covered,
        n_documents_total=sum(shard.n_documents for shard in shards),
        n_shards_covered=n_shards_covered,
        n_shards_total=sum(max(1, len(shard.shards)) for shard in shards),
        missing_ranges=tuple(missing),
    )
