"""JSON encoding of a stored revision of an environment document."""

from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from chestnuthall.adapters.documents._environment import (
    document_digest,
    read_environment,
)
from chestnuthall.core.model import Configuration
from chestnuthall.core.results import CONFIGURATION_REJECTED, Failure


class ConfigurationModel(BaseModel):
    """Value of an ``environments`` object."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    environment: str
    revision: Annotated[int, Field(ge=1)]
    digest: str
    text: str
    author: str = ""
    reason: str = ""
    accepted_wall_ms: float = 0.0
    write_token: str = ""
    source_environment: str = ""
    source_revision: Annotated[int, Field(ge=0)] = 0
    override_reason: str = ""
    evidence: str = ""


def encode_configuration(model: ConfigurationModel) -> str:
    """Return the text that is stored."""
    return model.model_dump_json()


def read_configuration(text: str) -> Configuration | Failure:
    """Decode a stored configuration and verify its digest."""
    try:
        model = ConfigurationModel.model_validate_json(text)
    except ValidationError as error:
        return CONFIGURATION_REJECTED.with_reason(str(error))
    if document_digest(model.text) != model.digest:
        return CONFIGURATION_REJECTED.with_reason("the digest does not match the text")
    document = read_environment(model.text)
    if isinstance(document, Failure):
        return document
    return Configuration(
        environment=model.environment,
        revision=model.revision,
        digest=model.digest,
        text=model.text,
        document=document,
        stored_text=text,
    )
