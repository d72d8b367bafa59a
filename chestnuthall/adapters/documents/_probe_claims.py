"""JSON encoding of the stored claims of probes."""

import json

from pydantic import BaseModel, ConfigDict, ValidationError

from chestnuthall.core.quarantine import ProbeClaim
from chestnuthall.core.results import INVALID_REQUEST, Failure


class _ProbeClaimModel(BaseModel):
    model_config = ConfigDict(extra="ignore", frozen=True, strict=True)

    fingerprint: str
    claimed_wall_ms: float


def read_probe_claim(text: str) -> ProbeClaim | Failure:
    """Decode a claim; return a failure if it is invalid."""
    try:
        model = _ProbeClaimModel.model_validate_json(text)
    except ValidationError as error:
        return INVALID_REQUEST.with_reason(str(error.errors()[0]["msg"]))
    return ProbeClaim(
        fingerprint=model.fingerprint, claimed_wall_ms=model.claimed_wall_ms
    )


def encode_probe_claim(claim: ProbeClaim) -> str:
    """Return the stored value of a claim."""
    return json.dumps(
        {"fingerprint": claim.fingerprint, "claimed_wall_ms": claim.claimed_wall_ms}
    )
