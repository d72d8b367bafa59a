"""Guards published schemas and pages against models that have changed."""

import json
from pathlib import Path

import pytest

from chestnuthall.adapters.commentedjson import read_source
from chestnuthall.cli._published import SCHEMAS, published_files

ROOT = Path(__file__).parents[3]


@pytest.mark.parametrize("name", published_files())
def test_docs_equal_what_the_models_generate(name):
    """Run `chestnuthall write-docs docs` after a change of a model."""
    assert (ROOT / "docs" / name).read_text() == published_files()[name]


@pytest.mark.parametrize("name", SCHEMAS)
def test_schema_refuses_unknown_fields(name):
    schema = json.loads(published_files()[f"schema/{name}.schema.json"])
    for part in (schema, *schema.get("$defs", {}).values()):
        assert part.get("additionalProperties") is False, part["title"]
        for field, value in part["properties"].items():
            assert value.get("description"), f"{part['title']}.{field}"


def test_example_document_has_the_fields_of_the_schema():
    """Guards the example that operators copy."""
    source = read_source((ROOT / "examples" / "environment.jsonc").read_text(), "e")
    schema = json.loads(published_files()["schema/environment.schema.json"])
    assert set(source.value) <= set(schema["properties"])
