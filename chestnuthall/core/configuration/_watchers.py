"""Choice of the instances that watch the store."""

from collections.abc import Iterable

# With more than one, the loss of a watcher does not delay changes in its zone.
N_WATCHERS_PER_ZONE = 2


def is_watcher(
    name: str, names_in_zone: Iterable[str], n_watchers: int = N_WATCHERS_PER_ZONE
) -> bool:
    """Return whether an instance watches the store for its availability zone.

    Each instance decides independently, from the members that it knows. While their
    views differ there may be more or fewer watchers; an instance without a recent
    confirmation reads the store in any case.

    Examples
    --------
    >>> [is_watcher(name, ["a", "b", "c"]) for name in ("a", "b", "c")]
    [True, True, False]
    """
    ahead = {other for other in names_in_zone if other < name}
    return len(ahead) < n_watchers
