"""How the memory and the descriptors of a machine are divided."""

from dataclasses import dataclass

_MB = 1024 * 1024
# Memory of the process itself, with its configuration, directory and metrics.
PROCESS_BYTES = 64 * _MB
# Parts of the remaining memory. What is left allows for copies, fragmentation, and
# bytes that the kernel has received meanwhile.
CLIENT_RATIO = 0.5
RESPONSE_RATIO = 0.25
N_RESPONSE_BYTES_MAX = 32 * _MB
# The least that is shared out, on however small a machine.
FREE_BYTES_MIN = 16 * _MB
# Memory of a connection whose client sends as much as it can: bytes in the kernel's
# buffer and requests that were sent ahead.
CONNECTION_BYTES = 48 * 1024
N_CONNECTIONS_MAX = 1_024
# Connections of the balancer's checks and of metrics scrapers.
N_SERVICE_CONNECTIONS_MAX = 16
# Descriptors that are not available for sockets.
N_FILE_DESCRIPTORS = 200
# Part of the sockets for connections that clients open; upstreams need the others.
LISTENER_RATIO = 2.0 / 3.0


@dataclass(frozen=True, slots=True, kw_only=True)
class IntakePlan:
    """Limits of an instance that follow from its machine.

    ``n_client_bytes_max`` bounds what all connections that clients opened hold,
    ``n_response_bytes_max`` what has arrived of incomplete responses.
    ``n_connections_max`` applies to callers and to peers, each of them.
    """

    n_client_bytes_max: int
    n_response_bytes_max: int
    n_connections_max: int
    n_service_connections_max: int = N_SERVICE_CONNECTIONS_MAX


def plan_intake(n_memory_bytes: int, n_descriptors: int) -> IntakePlan:
    """Return the limits for a machine.

    Examples
    --------
    >>> plan = plan_intake(300 * 1024 * 1024, 4_100)
    >>> plan.n_client_bytes_max // 1024**2, plan.n_connections_max
    (118, 1024)
    >>> plan_intake(128 * 1024 * 1024, 600).n_connections_max
    117
    """
    n_free_bytes = max(FREE_BYTES_MIN, n_memory_bytes - PROCESS_BYTES)
    n_client_bytes = int(CLIENT_RATIO * n_free_bytes)
    n_sockets = int(LISTENER_RATIO * (n_descriptors - N_FILE_DESCRIPTORS))
    n_connections = (n_sockets - 2 * N_SERVICE_CONNECTIONS_MAX) // 2
    return IntakePlan(
        n_client_bytes_max=n_client_bytes,
        n_response_bytes_max=min(
            N_RESPONSE_BYTES_MAX, int(RESPONSE_RATIO * n_free_bytes)
        ),
        n_connections_max=max(
            1,
            min(N_CONNECTIONS_MAX, n_connections, n_client_bytes // CONNECTION_BYTES),
        ),
    )
