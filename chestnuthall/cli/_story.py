"""The story of one request, from the log lines of several instances."""

import json
from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import datetime

# Keys of every line; the others are the fields of its event.
_COMMON_KEYS = frozenset(
    {"event", "time", "level", "logger", "instance", "request_id", "ago_ms"}
)
_ENDS = frozenset(
    {"request_answered", "request_refused", "request_abandoned_by_its_caller"}
)
TIME_FORMAT = "%Y-%m-%d %H:%M:%S,%f"


@dataclass(frozen=True, slots=True)
class StoryLine:
    """One decision on the request."""

    at_ms: float
    instance: str
    event: str
    fields: dict[str, object]


@dataclass(slots=True)
class Story:
    """What the logs say about one request."""

    lines: list[StoryLine] = field(default_factory=list)
    n_lines_read: int = 0
    n_torn: int = 0

    @property
    def settled_by(self) -> StoryLine | None:
        """The decision that settled the request, or its end if that is missing."""
        for event in ("request_settled", "request_refused"):
            found = [line for line in self.lines if line.event == event]
            if found:
                return found[-1]
        ends = [line for line in self.lines if line.event in _ENDS]
        return ends[-1] if ends else None


def read_story(request_id: str, texts: Iterable[str]) -> Story:
    """Return the lines of a request in order of time.

    Whatever stands before the brace of a line, such as the name of a machine, is
    passed over. Lines that cannot be read are counted.
    """
    story = Story()
    for text in texts:
        start = text.find("{")
        if start < 0:
            continue
        story.n_lines_read += 1
        if request_id not in text:
            continue
        line = _read_line(text[start:], request_id)
        if line is None:
            story.n_torn += 1
        else:
            story.lines.append(line)
    story.lines.sort(key=lambda line: line.at_ms)
    return story


def _read_line(text: str, request_id: str) -> StoryLine | None:
    try:
        values = json.loads(text)
        written = datetime.strptime(values["time"], TIME_FORMAT)
        ago_ms = float(values.get("ago_ms", 0.0))
        fields = {k: v for k, v in values.items() if k not in _COMMON_KEYS}
        if values["request_id"] != request_id:
            return None
        return StoryLine(
            written.timestamp() * 1000.0 - ago_ms,
            str(values["instance"]),
            str(values["event"]),
            fields,
        )
    except (ValueError, KeyError, TypeError):
        return None


def rows_of(story: Story) -> list[tuple[str, str, str, str]]:
    """Return time since the first line, instance, event and fields, as text."""
    start_ms = story.lines[0].at_ms if story.lines else 0.0
    return [
        (
            f"{line.at_ms - start_ms:.1f}",
            line.instance,
            line.event,
            " ".join(f"{name}={value}" for name, value in line.fields.items()),
        )
        for line in story.lines
    ]
