"""Guards docs/caller-interface.md against fields that have changed."""

import json
import re
from dataclasses import fields
from pathlib import Path

import pytest

from chestnuthall.adapters.callers import encode_outcome
from chestnuthall.adapters.callers._models import (
    LookupModel,
    MutationModel,
    SearchModel,
)
from chestnuthall.core.burn.tests.test_burn import account
from chestnuthall.core.model import (
    Account,
    AdmissionAccount,
    AdmissionRule,
    Answer,
    ClassStanding,
    Coverage,
    FanOutAccount,
    Hit,
    QueriesAhead,
    Refusal,
)
from chestnuthall.core.results import QUEUE_FULL, ResultCode, RetryAdvice, RunState

PAGE = (Path(__file__).parents[3] / "docs" / "caller-interface.md").read_text()
ANSWER = Answer("r", ResultCode.OK, (), Coverage(1, 1, 1, 1), 1, 1, account(1000))
REFUSAL = Refusal(
    "r", QUEUE_FULL.with_reason("x"), RunState.NO, RetryAdvice.SAFE, 1, account(3001)
)


def section(title):
    return re.search(rf"^##+ {title}\n(.*?)(?=^##+ |\Z)", PAGE, re.M | re.S).group(1)


def names_in(text):
    return set(re.findall(r"`([a-z_]+)`", text))


def names_of(kind):
    return {item.name for item in fields(kind)}


def body_of(outcome):
    return set(json.loads(encode_outcome(outcome).body))


def inputs():
    models = (SearchModel, LookupModel, MutationModel)
    every = [item for model in models for item in model.model_fields.items()]
    return {field.alias or name for name, field in every}


# (case, section of the page, names that it must have)
CASES = [
    ("requests", "Requests", inputs()),
    ("answer", "Answers", body_of(ANSWER)),
    ("coverage", "Answers", names_of(Coverage) | {"ratio", "start", "end"}),
    ("hit", "Answers", names_of(Hit)),
    ("refusal", "Refusals", body_of(REFUSAL)),
    ("repeat", "Refusals", {item.value for item in RetryAdvice}),
    ("run", "Refusals", {item.value for item in RunState}),
    ("rules", "Account", {item.value for item in AdmissionRule}),
    ("standing", "Account", names_of(ClassStanding)),
    ("ahead", "Account", names_of(QueriesAhead)),
    ("fan-out", "Account", names_of(FanOutAccount)),
]


@pytest.mark.parametrize(
    ("title", "names"), [case[1:] for case in CASES], ids=[case[0] for case in CASES]
)
def test_page_names_every_field(title, names):
    assert names <= names_in(section(title)), names - names_in(section(title))


def test_page_names_every_field_of_the_account():
    text = section("Account").replace("admission.", "")
    nested = {"admission", "fan_out"}
    wanted = names_of(Account) - nested | names_of(AdmissionAccount)
    assert wanted <= names_in(text), wanted - names_in(text)
