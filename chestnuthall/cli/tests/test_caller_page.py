"""Guards against docs/caller-interface.md missing fields of requests or answers.

Fails when a field or enum value is added or renamed without the page.
"""

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


def quoted_names(text):
    return set(re.findall(r"`([a-z_]+)`", text))


def field_names(kind):
    return {item.name for item in fields(kind)}


def body_keys(outcome):
    return set(json.loads(encode_outcome(outcome).body))


def request_field_names():
    models = (SearchModel, LookupModel, MutationModel)
    model_fields_by_name = [
        item for model in models for item in model.model_fields.items()
    ]
    return {field.alias or name for name, field in model_fields_by_name}


# (case, section of the page, names that the section must contain)
CASES = [
    ("requests", "Requests", request_field_names()),
    ("answer", "Answers", body_keys(ANSWER)),
    ("coverage", "Answers", field_names(Coverage) | {"ratio", "start", "end"}),
    ("hit", "Answers", field_names(Hit)),
    ("refusal", "Refusals", body_keys(REFUSAL)),
    ("repeat", "Refusals", {item.value for item in RetryAdvice}),
    ("run", "Refusals", {item.value for item in RunState}),
    ("rules", "Account", {item.value for item in AdmissionRule}),
    ("standing", "Account", field_names(ClassStanding)),
    ("ahead", "Account", field_names(QueriesAhead)),
    ("fan-out", "Account", field_names(FanOutAccount)),
]


@pytest.mark.parametrize(
    ("title", "names"), [case[1:] for case in CASES], ids=[case[0] for case in CASES]
)
def test_page_names_every_field(title, names):
    assert names <= quoted_names(section(title)), names - quoted_names(section(title))


def test_page_names_every_field_of_the_account():
    text = section("Account").replace("admission.", "")
    nested = {"admission", "fan_out"}
    wanted = field_names(Account) - nested | field_names(AdmissionAccount)
    assert wanted <= quoted_names(text), wanted - quoted_names(text)
