"""Load declarations from YAML files and report all errors with file and line."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any, cast

import yaml
from pydantic import ValidationError
from pydantic.alias_generators import to_camel
from returns.result import Failure, Result, Success

from rudderpass.declarations._catalog import Catalog, ObjectKey
from rudderpass.declarations._objects import SPEC_TYPES, AnySpec, Kind

_TOP_FIELDS = ("kind", "name", "spec")
_SUFFIXES = (".yaml", ".yml")
_HINTS = {
    "extra_forbidden": "remove the field or check its spelling",
    "missing": "add the field",
    "enum": "use one of the listed values",
}

FieldPath = tuple[str | int, ...]


@dataclass(frozen=True)
class Finding:
    """An error in the declarations, with its file and line."""

    file: str
    line: int
    object: str
    field: str
    message: str
    hint: str

    def show(self) -> str:
        """Return the finding as one line that starts with ``file:line``."""
        where = f"{self.object} {self.field}".strip()
        text = f"{self.file}:{self.line}: {where}: {self.message}"
        return f"{text} ({self.hint})" if self.hint else text


@dataclass(frozen=True)
class _Document:
    """A YAML document whose nodes have line numbers."""

    file: str
    node: yaml.Node

    def find_line(self, path: FieldPath) -> int:
        node = self.node
        line = node.start_mark.line + 1
        for step in path:
            found = _child(node, step)
            if found is None:
                return line
            line, node = found
        return line


def _child(node: yaml.Node, step: str | int) -> tuple[int, yaml.Node] | None:
    if isinstance(node, yaml.MappingNode):
        for key, value in node.value:
            if key.value in (step, to_camel(str(step))):
                return key.start_mark.line + 1, value
    if isinstance(node, yaml.SequenceNode) and isinstance(step, int):
        if step < len(node.value):
            child = node.value[step]
            return child.start_mark.line + 1, child
    return None


def load_declarations(directory: Path) -> Result[Catalog, tuple[Finding, ...]]:
    """Load all YAML files below ``directory`` into a catalog.

    Return ``Failure`` with all findings, sorted by file and line, if any object is
    invalid, is declared twice or refers to an object that is not declared.
    """
    loader = _Loader(directory)
    loader.read()
    if loader.findings:
        ordered = sorted(loader.findings, key=lambda found: (found.file, found.line))
        return Failure(tuple(ordered))
    return Success(Catalog(loader.objects))


class _Loader:
    """Collects objects and findings over the files of one directory."""

    def __init__(self, directory: Path) -> None:
        self.objects: dict[ObjectKey, AnySpec] = {}
        self.findings: list[Finding] = []
        self._directory = directory
        self._documents_by_key: dict[ObjectKey, _Document] = {}

    def read(self) -> None:
        files = sorted(
            path
            for path in self._directory.rglob("*")
            if path.suffix in _SUFFIXES and path.is_file()
        )
        if not files:
            hint = "use a directory that contains .yaml files"
            self._add_finding(
                str(self._directory), 1, "", "", "contains no declarations", hint
            )
        for path in files:
            for document in self._read_documents(path):
                self._add_document(document)
        self._check_references()

    def _add_finding(
        self, file: str, line: int, name: str, field: str, message: str, hint: str
    ) -> None:
        self.findings.append(Finding(file, line, name, field, message, hint))

    def _read_documents(self, path: Path) -> Iterator[_Document]:
        file = str(path.relative_to(self._directory))
        try:
            text = path.read_text(encoding="utf-8")
        except UnicodeDecodeError as error:
            self._add_finding(file, 1, "", "", "is not UTF-8", f"byte {error.start}")
            return
        try:
            for node in yaml.compose_all(text, Loader=yaml.SafeLoader):
                if node is not None:
                    yield _Document(file, node)
        except yaml.MarkedYAMLError as error:
            line = error.problem_mark.line + 1 if error.problem_mark else 1
            self._add_finding(file, line, "", "", f"is not YAML: {error.problem}", "")

    def _add_document(self, document: _Document) -> None:
        repeated = _find_repeated_key(document.node)
        if repeated is not None:
            line, field = repeated
            self._add_finding(
                document.file, line, "", field, "is given twice", "keep one of them"
            )
            return
        value = _construct_value(document.node)
        key = self._parse_key(document, value)
        if key is None:
            return
        if key in self._documents_by_key:
            first = self._documents_by_key[key]
            hint = f"first in {first.file}:{first.find_line(())}"
            self._add_finding(
                document.file,
                document.find_line(()),
                str(key),
                "name",
                "is declared twice",
                hint,
            )
            return
        self._documents_by_key[key] = document
        self._add_spec(document, key, cast(dict[str, Any], value))

    def _parse_key(self, document: _Document, value: object) -> ObjectKey | None:
        line = document.find_line(())
        if not isinstance(value, dict):
            self._add_finding(document.file, line, "", "", "is not a mapping", "")
            return None
        for name in value:
            if name not in _TOP_FIELDS:
                field_line = document.find_line((str(name),))
                hint = f"use only {', '.join(_TOP_FIELDS)}"
                self._add_finding(
                    document.file,
                    field_line,
                    "",
                    str(name),
                    "is an unknown field",
                    hint,
                )
                return None
        kind, name = value.get("kind"), value.get("name")
        kinds = [known.value for known in Kind]
        if kind not in kinds:
            field_line = document.find_line(("kind",))
            hint = f"one of {', '.join(kinds)}"
            self._add_finding(
                document.file, field_line, "", "kind", f"{kind!r} is not a kind", hint
            )
            return None
        if not isinstance(name, str) or not name:
            field_line = document.find_line(("name",))
            self._add_finding(
                document.file,
                field_line,
                str(kind),
                "name",
                "must be a non-empty string",
                "add a name",
            )
            return None
        return ObjectKey(str(kind), name)

    def _add_spec(
        self, document: _Document, key: ObjectKey, value: dict[str, Any]
    ) -> None:
        try:
            spec = SPEC_TYPES[key.kind].model_validate(value.get("spec", {}))
        except ValidationError as error:
            for detail in error.errors():
                self._add_validation_error(document, key, cast(dict[str, Any], detail))
            return
        self.objects[key] = cast(AnySpec, spec)

    def _add_validation_error(
        self, document: _Document, key: ObjectKey, detail: dict[str, Any]
    ) -> None:
        path = ("spec", *detail["loc"])
        field = ".".join(str(step) for step in detail["loc"]) or "spec"
        message = detail["msg"].removeprefix("Value error, ")
        hint = _HINTS.get(detail["type"], "")
        line = document.find_line(path)
        self._add_finding(document.file, line, str(key), field, message, hint)

    def _check_references(self) -> None:
        for reference in Catalog(self.objects).references():
            document = self._documents_by_key[reference.source]
            line = document.find_line(("spec", *reference.path))
            field = ".".join(str(step) for step in reference.path)
            message = f"{reference.target!r} is not declared"
            self._add_finding(
                document.file,
                line,
                str(reference.source),
                field,
                message,
                reference.hint,
            )


def _find_repeated_key(node: yaml.Node) -> tuple[int, str] | None:
    if isinstance(node, yaml.MappingNode):
        seen: set[str] = set()
        for key, value in node.value:
            if key.value in seen:
                return key.start_mark.line + 1, str(key.value)
            seen.add(key.value)
        children: Iterable[yaml.Node] = [value for _, value in node.value]
    elif isinstance(node, yaml.SequenceNode):
        children = node.value
    else:
        return None
    for child in children:
        found = _find_repeated_key(child)
        if found is not None:
            return found
    return None


def _construct_value(node: yaml.Node) -> object:
    constructor = yaml.SafeLoader("")
    try:
        return constructor.construct_document(node)
    finally:
        constructor.dispose()
