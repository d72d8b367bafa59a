"""Fair queueing of the queries of one upstream group."""

from chestnuthall.core.admission._events import AdmissionAction, AdmissionEvent
from chestnuthall.core.admission._handlers import apply_event
from chestnuthall.core.admission._state import AdmissionState


class AdmissionQueue(AdmissionState):
    """Admits queries, never single calls, within a limit on concurrent shard calls.

    Start-time fair queueing decides between classes, by the service that each
    received over the fleet divided by its share. Among the classes within their
    share the most urgent one goes first. Smaller queries don't overtake the chosen
    one while it waits for capacity, so that a large query is not starved; meanwhile
    only queries of kinds with reserved capacity are admitted.
    """

    def handle(self, event: AdmissionEvent) -> list[AdmissionAction]:
        """Apply one event and return the resulting admissions and refusals."""
        elapsed_ms = self.capacity.advance(event.now_ms)
        if elapsed_ms > 0.0:
            for queue in self.queues.values():
                queue.decay_predicted(elapsed_ms)
        return apply_event(event, self)
