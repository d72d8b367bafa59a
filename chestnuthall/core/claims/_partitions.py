"""Assignment of idempotency keys to ledger partitions."""

from zlib import crc32


def partition_name(idempotency_key: str, n_partitions: int) -> str:
    """Return the name of the ledger partition of an idempotency key.

    Examples
    --------
    >>> partition_name("hold-17", 64) == partition_name("hold-17", 64)
    True
    """
    return f"p{crc32(idempotency_key.encode()) % n_partitions:04d}"
