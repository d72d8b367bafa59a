"""JSON encoding of revisions and of their history."""

from dataclasses import asdict

from pydantic import BaseModel, ConfigDict, ValidationError

from chestnuthall.adapters.documents._configuration import (
    ConfigurationModel,
    encode_configuration,
)
from chestnuthall.adapters.documents._environment import document_digest
from chestnuthall.core.configuration import History, RevisionRecord
from chestnuthall.core.results import CONFIGURATION_REJECTED, Failure


class _HistoryModel(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)

    records: tuple[ConfigurationModel, ...]


def _to_record(model: ConfigurationModel) -> RevisionRecord:
    return RevisionRecord(**model.model_dump())


class JsonRevisionCodec:
    """Encodes revisions and histories as JSON."""

    def encode_record(self, record: RevisionRecord) -> str:
        """Return the text of an ``environments`` object."""
        return encode_configuration(ConfigurationModel(**asdict(record)))

    def decode_record(self, text: str) -> RevisionRecord | Failure:
        """Decode the text of an ``environments`` object and verify its digest."""
        try:
            model = ConfigurationModel.model_validate_json(text)
        except ValidationError as error:
            return CONFIGURATION_REJECTED.with_reason(str(error))
        if document_digest(model.text) != model.digest:
            return CONFIGURATION_REJECTED.with_reason(
                "the digest does not match the text"
            )
        return _to_record(model)

    def encode_history(self, history: History) -> str:
        """Return the text of an ``environment-history`` object."""
        records = tuple(ConfigurationModel(**asdict(item)) for item in history.records)
        return _HistoryModel(records=records).model_dump_json()

    def decode_history(self, text: str) -> History | Failure:
        """Decode the text of an ``environment-history`` object."""
        try:
            model = _HistoryModel.model_validate_json(text)
        except ValidationError as error:
            return CONFIGURATION_REJECTED.with_reason(
                f"the stored history is invalid: {error}"
            )
        return History(tuple(_to_record(item) for item in model.records))
