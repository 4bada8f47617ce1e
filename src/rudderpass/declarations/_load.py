"""Read declarations from YAML files and report every error with its place."""

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

Path_ = tuple[str | int, ...]


@dataclass(frozen=True)
class Finding:
    """One error in the declarations, with its place."""

    file: str
    line: int
    object: str
    field: str
    message: str
    hint: str

    def show(self) -> str:
        """Return the finding as one line, ``file:line`` first."""
        where = f"{self.object} {self.field}".strip()
        text = f"{self.file}:{self.line}: {where}: {self.message}"
        return f"{text} ({self.hint})" if self.hint else text


@dataclass(frozen=True)
class _Document:
    """One YAML document and the lines of its nodes."""

    file: str
    node: yaml.Node

    def line_of(self, path: Path_) -> int:
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
    """Read all YAML files below ``directory`` into a catalog.

    Return ``Failure`` with every finding, in file and line order, when any object
    is invalid, declared twice, or names an object that is not declared.
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
        self._places: dict[ObjectKey, _Document] = {}

    def read(self) -> None:
        files = sorted(
            path
            for path in self._directory.rglob("*")
            if path.suffix in _SUFFIXES and path.is_file()
        )
        if not files:
            hint = "name a directory that holds .yaml files"
            self._add(str(self._directory), 1, "", "", "no declarations are here", hint)
        for path in files:
            for document in self._documents(path):
                self._take(document)
        self._check_references()

    def _add(
        self, file: str, line: int, name: str, field: str, message: str, hint: str
    ) -> None:
        self.findings.append(Finding(file, line, name, field, message, hint))

    def _documents(self, path: Path) -> Iterator[_Document]:
        file = str(path.relative_to(self._directory))
        try:
            text = path.read_text(encoding="utf-8")
        except UnicodeDecodeError as error:
            self._add(file, 1, "", "", "is not UTF-8", f"byte {error.start}")
            return
        try:
            for node in yaml.compose_all(text, Loader=yaml.SafeLoader):
                if node is not None:
                    yield _Document(file, node)
        except yaml.MarkedYAMLError as error:
            line = error.problem_mark.line + 1 if error.problem_mark else 1
            self._add(file, line, "", "", f"is not YAML: {error.problem}", "")

    def _take(self, document: _Document) -> None:
        repeated = _find_repeated_key(document.node)
        if repeated is not None:
            line, field = repeated
            self._add(
                document.file, line, "", field, "is given twice", "keep one of them"
            )
            return
        value = _construct(document.node)
        key = self._key_of(document, value)
        if key is None:
            return
        if key in self._places:
            first = self._places[key]
            hint = f"first in {first.file}:{first.line_of(())}"
            self._add(
                document.file,
                document.line_of(()),
                str(key),
                "name",
                "is declared twice",
                hint,
            )
            return
        self._places[key] = document
        self._take_spec(document, key, cast(dict[str, Any], value))

    def _key_of(self, document: _Document, value: object) -> ObjectKey | None:
        line = document.line_of(())
        if not isinstance(value, dict):
            self._add(document.file, line, "", "", "is not a mapping", "")
            return None
        for name in value:
            if name not in _TOP_FIELDS:
                place = document.line_of((str(name),))
                hint = f"use only {', '.join(_TOP_FIELDS)}"
                self._add(
                    document.file, place, "", str(name), "is an unknown field", hint
                )
                return None
        kind, name = value.get("kind"), value.get("name")
        kinds = [known.value for known in Kind]
        if kind not in kinds:
            place = document.line_of(("kind",))
            hint = f"one of {', '.join(kinds)}"
            self._add(document.file, place, "", "kind", f"{kind!r} is not a kind", hint)
            return None
        if not isinstance(name, str) or not name:
            place = document.line_of(("name",))
            self._add(
                document.file, place, str(kind), "name", "needs a text", "add a name"
            )
            return None
        return ObjectKey(str(kind), name)

    def _take_spec(
        self, document: _Document, key: ObjectKey, value: dict[str, Any]
    ) -> None:
        try:
            spec = SPEC_TYPES[key.kind].model_validate(value.get("spec", {}))
        except ValidationError as error:
            for detail in error.errors():
                self._add_detail(document, key, cast(dict[str, Any], detail))
            return
        self.objects[key] = cast(AnySpec, spec)

    def _add_detail(
        self, document: _Document, key: ObjectKey, detail: dict[str, Any]
    ) -> None:
        path = ("spec", *detail["loc"])
        field = ".".join(str(step) for step in detail["loc"]) or "spec"
        message = detail["msg"].removeprefix("Value error, ")
        hint = _HINTS.get(detail["type"], "")
        line = document.line_of(path)
        self._add(document.file, line, str(key), field, message, hint)

    def _check_references(self) -> None:
        for reference in Catalog(self.objects).references():
            document = self._places[reference.source]
            line = document.line_of(("spec", *reference.path))
            field = ".".join(str(step) for step in reference.path)
            message = f"{reference.wanted!r} is not declared"
            self._add(
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


def _construct(node: yaml.Node) -> object:
    constructor = yaml.SafeLoader("")
    try:
        return constructor.construct_document(node)
    finally:
        constructor.dispose()
