"""Guards against `why` missing, misordering or misattributing decisions.

The lines of a request are spread over the logs of several instances, are not in order
of time, may follow a host name, and may be truncated.
"""

import json

import pytest

from chestnuthall.cli import main


def line(event, instance="entry-1", time="2026-12-04 10:00:00,500", **fields):
    values = {"event": event, "time": time, "instance": instance, **fields}
    return json.dumps(values)


SENT = line("call_sent", request_id="q1", ago_ms=90.0, shard_id="s", reason="first")
FAILED = line("call_failed", request_id="q1", ago_ms=10.0, result="CONNECTION_LOST")
SETTLED = line("request_settled", request_id="q1", ago_ms=5.0, why="deadline")
REFUSED = line("request_refused", request_id="q1", reason="no answer")
OTHER = line("request_answered", request_id="q2")
LATER = line(
    "request_answered",
    instance="entry-2",
    time="2026-12-04 10:00:01,000",
    request_id="q1",
)
REJECTED = line(
    "request_refused",
    request_id="q3",
    run="no",
    result="QUEUE_FULL",
    reason="the class has 6 queries queued",
    rule="not_admitted",
    n_ahead=6,
    retry_after_ms=80.0,
    drain_ms=60.0,
    is_return_booked=True,
)
TRUNCATED = '{"event": "call_sent", "request_id": "q1", "ti'

# (case, log files, request id, exit code, fragments of the output in order)
CASES = [
    (
        "sorted by decision time",
        [[REFUSED, SETTLED, OTHER, FAILED, SENT]],
        "q1",
        0,
        ["call_sent", "call_failed", "request_settled", "settled by", "deadline"],
    ),
    (
        "over two instances",
        [[LATER], [SENT, REFUSED]],
        "q1",
        0,
        ["entry-1 call_sent", "request_refused", "entry-2 request_answered"],
    ),
    (
        "after a host name",
        [[f"  0.5 entry-1 {SENT}", "not a log line"]],
        "q1",
        0,
        ["call_sent", "no decision settled the request"],
    ),
    (
        "rejection with its rule, inputs and return",
        [[REJECTED]],
        "q3",
        0,
        ["rule=not_admitted", "QUEUE_FULL", "6 ahead", "return booked in 80 ms"],
    ),
    ("truncated line", [[TRUNCATED, REFUSED]], "q1", 0, ["request_refused", "1 lines"]),
    ("only a truncated line", [[TRUNCATED]], "q1", 8, ["1 of them name it"]),
    ("no such request", [[OTHER]], "q1", 8, ["no line of request q1 in 1 lines"]),
    ("id inside another id", [[REFUSED]], "q", 8, ["no line of request q"]),
    ("another format", [["plain text", ""]], "q1", 1, ["no line in the format"]),
]


@pytest.mark.parametrize(
    ("logs", "request_id", "code", "fragments"),
    [case[1:] for case in CASES],
    ids=[case[0] for case in CASES],
)
def test_decisions_of_a_request_are_printed(
    logs, request_id, code, fragments, capsys, tmp_path
):
    paths = []
    for number, lines in enumerate(logs):
        path = tmp_path / f"{number}.log"
        path.write_text("\n".join(lines))
        paths.append(str(path))
    with pytest.raises(SystemExit) as exit_info:
        main(["why", request_id, *paths])
    printed = capsys.readouterr()
    text = " ".join((printed.out + printed.err).split())
    assert exit_info.value.code == code, text
    for fragment in fragments:
        assert fragment in text, text
        text = text[text.index(fragment) + len(fragment) :]


@pytest.mark.parametrize(
    ("arguments", "fragment"),
    [(["why", "q1"], "at least one log"), (["why", "q1", "/nowhere"], "cannot read")],
)
def test_usage_errors(arguments, fragment, capsys):
    with pytest.raises(SystemExit) as exit_info:
        main(arguments)
    assert exit_info.value.code == 2
    assert fragment in " ".join(capsys.readouterr().err.split())
