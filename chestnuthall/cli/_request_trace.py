"""Trace of one request, read from the log lines of several instances."""

import json
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from datetime import datetime

# Keys common to all log lines; the other keys are fields of the event.
_COMMON_KEYS = frozenset(
    {"event", "time", "level", "logger", "instance", "request_id", "ago_ms"}
)
_FINAL_EVENTS = frozenset(
    {"request_answered", "request_refused", "request_abandoned_by_its_caller"}
)
TIME_FORMAT = "%Y-%m-%d %H:%M:%S,%f"


@dataclass(frozen=True, slots=True)
class TraceEntry:
    """One decision on the request."""

    at_ms: float
    instance: str
    event: str
    fields: dict[str, object]


@dataclass(slots=True)
class RequestTrace:
    """Decisions on one request in order of time, with counts of the lines read."""

    lines: list[TraceEntry] = field(default_factory=list)
    n_lines_read: int = 0
    n_torn: int = 0

    @property
    def settled_by(self) -> TraceEntry | None:
        """Decision that settled the request, or else its last final event."""
        for event in ("request_settled", "request_refused"):
            found = [line for line in self.lines if line.event == event]
            if found:
                return found[-1]
        final_entries = [line for line in self.lines if line.event in _FINAL_EVENTS]
        return final_entries[-1] if final_entries else None


def describe_rejection(fields: Mapping[str, object]) -> str:
    """Return why a request was not run and when its caller was to return.

    ``fields`` are those of its final line; the result is empty for other outcomes.

    Examples
    --------
    >>> describe_rejection(
    ...     {"run": "no", "result": "QUEUE_FULL", "reason": "6 queries", "n_ahead": 6,
    ...      "retry_after_ms": 80.0, "drain_ms": 60.0, "is_return_booked": True}
    ... )
    'not run: QUEUE_FULL (6 queries), 6 ahead; return booked in 80 ms, drain 60 ms'
    """
    if fields.get("run") != "no":
        return ""
    text = f"not run: {fields.get('result')} ({fields.get('reason')})"
    if "n_ahead" in fields:
        text += f", {fields['n_ahead']} ahead"
    wait_ms, drain_ms = fields.get("retry_after_ms"), fields.get("drain_ms")
    if not isinstance(wait_ms, float) or not isinstance(drain_ms, float):
        return f"{text}; no return advised"
    booked = "booked" if fields.get("is_return_booked") else "advised but not booked"
    return f"{text}; return {booked} in {wait_ms:.0f} ms, drain {drain_ms:.0f} ms"


def read_trace(request_id: str, log_lines: Iterable[str]) -> RequestTrace:
    """Return the trace of a request.

    Text before the opening brace of a line, such as a host name added by a log
    collector, is ignored. Lines that contain the id but cannot be read as lines of the
    request are counted in ``n_torn``.
    """
    trace = RequestTrace()
    for text in log_lines:
        start = text.find("{")
        if start < 0:
            continue
        trace.n_lines_read += 1
        if request_id not in text:
            continue
        line = _parse_line(text[start:], request_id)
        if line is None:
            trace.n_torn += 1
        else:
            trace.lines.append(line)
    trace.lines.sort(key=lambda line: line.at_ms)
    return trace


def _parse_line(text: str, request_id: str) -> TraceEntry | None:
    try:
        values = json.loads(text)
        logged_at = datetime.strptime(values["time"], TIME_FORMAT)
        ago_ms = float(values.get("ago_ms", 0.0))
        fields = {k: v for k, v in values.items() if k not in _COMMON_KEYS}
        if values["request_id"] != request_id:
            return None
        return TraceEntry(
            logged_at.timestamp() * 1000.0 - ago_ms,
            str(values["instance"]),
            str(values["event"]),
            fields,
        )
    except (ValueError, KeyError, TypeError):
        return None


def format_rows(trace: RequestTrace) -> list[tuple[str, str, str, str]]:
    """Return the time since the first line in ms, instance, event and fields."""
    start_ms = trace.lines[0].at_ms if trace.lines else 0.0
    return [
        (
            f"{line.at_ms - start_ms:.1f}",
            line.instance,
            line.event,
            " ".join(f"{name}={value}" for name, value in line.fields.items()),
        )
        for line in trace.lines
    ]
