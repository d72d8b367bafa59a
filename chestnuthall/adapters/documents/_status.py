"""The status object of one instance."""

import json
from collections.abc import Mapping


def encode_status(status: Mapping[str, object]) -> str:
    """Return the text that is stored; equal contents give equal texts."""
    return json.dumps(status, sort_keys=True, separators=(",", ":"))
