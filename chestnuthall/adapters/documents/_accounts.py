"""Accounts as callers receive them."""

import json

from pydantic import TypeAdapter, ValidationError

from chestnuthall.core.model import Account
from chestnuthall.core.results import INVALID_REQUEST, Failure

_ACCOUNT = TypeAdapter(Account)


def read_account(text: str) -> Account | Failure:
    """Read an account, or the whole answer or refusal that carries one."""
    try:
        value = json.loads(text)
        if isinstance(value, dict) and "account" in value:
            value = value["account"]
        return _ACCOUNT.validate_python(value)
    except ValidationError as error:
        first = error.errors()[0]
        place = ".".join(str(part) for part in first["loc"])
        return INVALID_REQUEST.with_reason(f"not an account: {place}: {first['msg']}")
    except ValueError as error:
        return INVALID_REQUEST.with_reason(f"not JSON: {error}")
