"""News that is still being passed on, with a bounded number of repeats."""

from heapq import nsmallest


class SpreadQueue:
    """Names of instances whose news is passed on, least often sent first."""

    def __init__(self) -> None:
        self._n_sent: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._n_sent)

    def add(self, name: str) -> None:
        """Begin to pass on the news about an instance, or begin again."""
        self._n_sent[name] = 0

    def discard(self, name: str) -> None:
        """Stop to pass on the news about an instance."""
        self._n_sent.pop(name, None)

    def take(self, n_max: int, n_transmissions: int) -> list[str]:
        """Return the names to send now and count them as sent once more."""
        chosen = nsmallest(n_max, self._n_sent, key=self._n_sent.__getitem__)
        for name in chosen:
            self._n_sent[name] += 1
            if self._n_sent[name] >= n_transmissions:
                del self._n_sent[name]
        return chosen
