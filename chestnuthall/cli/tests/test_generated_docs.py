"""Guards against generated schemas and pages that differ from the models."""

import json
from pathlib import Path

import pytest

from chestnuthall.adapters.commentedjson import parse_source
from chestnuthall.cli._generated_docs import SCHEMAS, generated_files

ROOT = Path(__file__).parents[3]


@pytest.mark.parametrize("name", generated_files())
def test_docs_equal_what_the_models_generate(name):
    """Regenerate the files with `chestnuthall write-docs docs`."""
    assert (ROOT / "docs" / name).read_text() == generated_files()[name]


@pytest.mark.parametrize("name", SCHEMAS)
def test_schema_refuses_unknown_fields(name):
    schema = json.loads(generated_files()[f"schema/{name}.schema.json"])
    for definition in (schema, *schema.get("$defs", {}).values()):
        assert definition.get("additionalProperties") is False, definition["title"]
        for field, value in definition["properties"].items():
            assert value.get("description"), f"{definition['title']}.{field}"


def test_example_document_has_the_fields_of_the_schema():
    """Guards the example, which operators copy, against unknown fields."""
    source = parse_source((ROOT / "examples" / "environment.jsonc").read_text(), "e")
    schema = json.loads(generated_files()["schema/environment.schema.json"])
    assert set(source.value) <= set(schema["properties"])
