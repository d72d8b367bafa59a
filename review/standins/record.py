"""The record of a case: what was sent, answered and run."""

import time


class Record:
    """Events in order, with the milliseconds since the start of the case."""

    def __init__(self):
        self._started_s = time.monotonic()
        self.events = []

    @property
    def now_ms(self):
        return 1000.0 * (time.monotonic() - self._started_s)

    def add(self, kind, *values):
        """Record one event."""
        self.events.append((self.now_ms, kind, *values))

    def of_kind(self, kind):
        """Return the events of a kind."""
        return [event for event in self.events if event[1] == kind]

    def write(self, path):
        """Write all events to a file."""
        with path.open("w") as file:
            for now_ms, *values in self.events:
                file.write(f"{now_ms:10.1f} " + " ".join(map(str, values)) + "\n")
