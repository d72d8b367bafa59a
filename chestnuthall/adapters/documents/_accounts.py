"""Decoding of the accounts that callers receive."""

import json

from pydantic import TypeAdapter, ValidationError

from chestnuthall.core.model import Account
from chestnuthall.core.results import INVALID_REQUEST, Failure

_ACCOUNT = TypeAdapter(Account)


def read_account(text: str) -> Account | Failure:
    """Decode an account, given alone or within a complete answer or refusal."""
    try:
        value = json.loads(text)
        if isinstance(value, dict) and "account" in value:
            value = value["account"]
        return _ACCOUNT.validate_python(value)
    except ValidationError as error:
        first_error = error.errors()[0]
        path = ".".join(str(step) for step in first_error["loc"])
        return INVALID_REQUEST.with_reason(
            f"invalid account: {path}: {first_error['msg']}"
        )
    except ValueError as error:
        return INVALID_REQUEST.with_reason(f"not JSON: {error}")
