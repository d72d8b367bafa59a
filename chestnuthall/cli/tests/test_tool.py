"""Guards against commands with a wrong exit code, message or effect on a fleet.

Scripts rely on the exit codes; an error must print a message, not a traceback.
"""

import asyncio
import json
import sys
from pathlib import Path

import pytest

from chestnuthall.cli import main
from chestnuthall.cli._exit_codes import MEANINGS, ExitCode
from chestnuthall.standins.fleet import FleetPlan, GroupPlan, LocalFleet

ROOT = Path(__file__).parents[3]
DOCUMENT = ROOT / "examples" / "environment.jsonc"
STORE = ["--store", "127.0.0.1:1", "--operator", "ada"]

# (case, arguments, exit code, fragment of the output)
SINGLE_COMMANDS = [
    ("help", ["--help"], 0, "chestnuthall promote --reason"),
    ("help of a command", ["trial", "--help"], 0, "--expect-revision 7"),
    ("version", ["--version"], 0, "0.1.0"),
    ("valid document", ["check", str(DOCUMENT)], 0, "3 classes, 2 groups"),
    (
        "wrong settings",
        ["check", "s.jsonc", "--kind", "settings"],
        1,
        "s.jsonc:2:2: nam",
    ),
    ("valid profile", ["check", "p.jsonc", "--kind", "profile"], 0, "p.jsonc is valid"),
    ("no such file", ["check", "/nowhere"], 2, "cannot read /nowhere: No such file"),
    ("unknown command", ["chek"], 2, 'Did you mean "check"?'),
    ("missing argument", ["trial"], 2, "--file"),
    ("no profile", ["status"], 2, "no profile found; give --profile FILE"),
    (
        "invalid store address",
        ["status", "--store", "x", "--operator", "a"],
        2,
        "write the store",
    ),
    ("store unreachable", ["status", *STORE], 5, "STORE_UNAVAILABLE (5000)"),
    ("empty reason", ["promote", "--reason", " ", *STORE], 2, "the reason is empty"),
    ("not an account", ["explain", str(DOCUMENT)], 1, "not JSON"),
    (
        "drain of zero duration",
        ["drain", "upstream", "u", "--for-s", "0", *STORE],
        2,
        "greater",
    ),
]


@pytest.mark.parametrize(
    ("arguments", "code", "fragment"),
    [c[1:] for c in SINGLE_COMMANDS],
    ids=[c[0] for c in SINGLE_COMMANDS],
)
def test_exit_code_and_message(
    arguments, code, fragment, capsys, monkeypatch, tmp_path
):
    monkeypatch.chdir(tmp_path)
    (tmp_path / "s.jsonc").write_text('{\n "name": "Entry 0" // no\n}')
    (tmp_path / "p.jsonc").write_text('{"store_address": "[::1]:1", "operator": "a"}')
    monkeypatch.delenv("CHESTNUTHALL_PROFILE", raising=False)
    with pytest.raises(SystemExit) as exit_info:
        main(arguments)
    printed = capsys.readouterr()
    assert exit_info.value.code == code, printed
    assert fragment in " ".join((printed.out + printed.err).split()), printed
    assert "Traceback" not in printed.err


@pytest.mark.parametrize("code", ExitCode, ids=lambda code: code.name)
def test_docs_list_every_exit_code(code):
    row = f"| {int(code)} | {MEANINGS[code]} |"
    assert row in (ROOT / "docs" / "cli.md").read_text().splitlines()


SEARCH = {"class": "planner", "group": "planner-desk", "query": "x"}
PUT_IN_TRIAL = ["trial", "new.jsonc", "--reason", "more"]
LOSE_RACE = ["trial", "other.jsonc", "--reason", "late", "--expect-revision", "1"]

# (arguments, exit code, fragment of the output), run in this order
COMMAND_SEQUENCE = [
    (["diff", "new.jsonc"], 0, "classes.crew.share"),
    (["promote", "--reason", "early"], 4, "0 requests were served under it"),
    (PUT_IN_TRIAL, 0, "in force on all 2 instances"),
    (PUT_IN_TRIAL, 0, "exactly this document in force already, as revision 2 by ada"),
    ([*LOSE_RACE, "--operator", "bea"], 3, "ada was first: trial revision 2"),
    ([*LOSE_RACE, "--operator", "bea"], 3, "classes.crew.share: 4.0 -> 1.0"),
    (["promote", "--reason", "p", "--file", "other.jsonc"], 4, "trial has digest"),
    (["promote", "--reason", "p", "--override", "no traffic"], 0, "production revisio"),
    (["promote", "--reason", "again"], 0, "exactly this document in force already"),
    (["history", "--env", "production"], 0, "without proof: no traffic"),
    (["search"], 0, ""),
    (["evidence"], 4, "60 s are needed"),
    (["status", "--upstreams"], 0, "planner-desk-00-0"),
    (["explain", "answer.json"], 0, "A ended with OK (1000)"),
    (["explain", "answer.json", "answer.json", "--env", "trial"], 0, "A (class plann"),
    (["quarantine", "list"], 0, "fingerprint"),
    (["quarantine", "lift", "abc"], 8, "no instance knows"),
    (["drain", "upstream", "planner-desk-00-0", "--for-s", "1"], 0, "on 2 of 2"),
    (["drain", "upstream", "nobody"], 8, "no upstream named"),
    (["drain", "instance", "entry-1"], 0, "entry-1 is leaving"),
    (["drain", "instance", "nobody"], 8, "there are entry-0"),
    (["burn", "--html", "burn.html"], 0, "written to burn.html"),
    (["watch", "--n-rounds", "1", "--json"], 0, '"name": "entry-0"'),
]


@pytest.mark.processes
def test_document_from_trial_to_production(tmp_path):
    """Guards the path of a document from `diff` to production on a local fleet."""
    text = DOCUMENT.read_text()
    (tmp_path / "new.jsonc").write_text(text.replace('"share": 3', '"share": 4'))
    (tmp_path / "other.jsonc").write_text(text.replace('"share": 3', '"share": 1'))

    async def run_tool(arguments):
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "chestnuthall.cli",
            *arguments,
            cwd=tmp_path,
            env={"PYTHONPATH": str(ROOT)},
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        printed, _ = await process.communicate()
        return process.returncode, printed.decode()

    async def search(fleet):
        for number in range(4):
            body = {"request_id": f"s{number}", **SEARCH}
            client = fleet.instances[number % 2].client
            reply = await client.send("POST", "/v1/search", body)
            (tmp_path / "answer.json").write_text(json.dumps(reply.body))

    async def scenario():
        plan = FleetPlan(
            groups=(
                GroupPlan(name="planner-desk", n_shards=2, n_replicas=2),
                GroupPlan(name="booking-ledger", n_shards=1, n_replicas=1),
            ),
            document_text=text,
            n_instances=2,
        )
        async with LocalFleet(plan) as fleet:
            profile = {"store_address": fleet.store_address, "operator": "ada"}
            (tmp_path / "chestnuthall.jsonc").write_text(json.dumps(profile))
            results = []
            for arguments, *_ in COMMAND_SEQUENCE:
                if arguments == ["search"]:
                    await search(fleet)
                    results.append((0, ""))
                else:
                    results.append(await run_tool(arguments))
            return results

    results = asyncio.run(scenario())
    for (arguments, code, fragment), (returned, printed) in zip(
        COMMAND_SEQUENCE, results, strict=True
    ):
        assert returned == code, (arguments, printed)
        assert fragment in " ".join(printed.split()), (arguments, printed)
        assert "Traceback" not in printed
    page = (tmp_path / "burn.html").read_text()
    assert "<svg" in page
    assert "http" not in page
