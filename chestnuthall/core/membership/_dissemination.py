"""Queue of membership updates, each sent a bounded number of times."""

from heapq import nsmallest


class DisseminationQueue:
    """Names of instances whose records are disseminated, least often sent first."""

    def __init__(self) -> None:
        self._n_sent: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._n_sent)

    def add(self, name: str) -> None:
        """Start or restart the dissemination of an instance's record."""
        self._n_sent[name] = 0

    def discard(self, name: str) -> None:
        """Stop the dissemination of an instance's record."""
        self._n_sent.pop(name, None)

    def select_names(self, n_max: int, n_transmissions: int) -> list[str]:
        """Return up to ``n_max`` names to send and count one transmission of each.

        A name is removed after ``n_transmissions`` transmissions.
        """
        chosen = nsmallest(n_max, self._n_sent, key=self._n_sent.__getitem__)
        for name in chosen:
            self._n_sent[name] += 1
            if self._n_sent[name] >= n_transmissions:
                del self._n_sent[name]
        return chosen
