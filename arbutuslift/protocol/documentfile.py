"""Parsers of operators' YAML and JSON input into plain values."""

from pathlib import Path

import yaml

from ..errors import DocumentError, Fault, FieldError
from ..fieldtypes import MAX_INTEGER, parse_json as parse_json_text
from ..state.configuration import MAX_DOCUMENT_BYTES

# The parser of YAML takes up to 1 KB for each value, so 2 MB of short values would take
# 1 GB. A document of the target scale has 70,000 values.
MAX_YAML_VALUES = 250_000

# Name of the rule that the file can be read and parsed.
FILE_RULE = "file"

_STEP = "read document"
_MERGE_TAG = "tag:yaml.org,2002:merge"


class _Loader(yaml.SafeLoader):
    """Safe loader that refuses duplicate keys, aliases and merge keys.

    Aliases would let a small file expand to a very large document.
    """

    def __init__(self, stream: str) -> None:
        super().__init__(stream)
        self._value_count = 0

    def compose_node(self, parent: yaml.Node, index: object) -> yaml.Node:
        """Refuse aliases, and documents with too many values."""
        self._value_count += 1
        if self._value_count > MAX_YAML_VALUES:
            mark = self.peek_event().start_mark
            reason = f"more than {MAX_YAML_VALUES} values"
            raise yaml.composer.ComposerError(None, None, reason, mark)
        if self.check_event(yaml.AliasEvent):
            mark = self.peek_event().start_mark
            raise yaml.composer.ComposerError(
                None, None, "aliases aren't allowed", mark
            )
        return super().compose_node(parent, index)

    def construct_mapping(self, node: yaml.MappingNode, deep: bool = False) -> dict:
        """Refuse duplicate keys and merge keys."""
        seen_keys = set()
        for key_node, _ in node.value:
            if key_node.tag == _MERGE_TAG:
                _refuse("merge keys aren't allowed", key_node)
            if not isinstance(key_node, yaml.ScalarNode):
                _refuse("a key must be text", key_node)
            if key_node.value in seen_keys:
                _refuse(f"duplicate key {key_node.value!r}", key_node)
            seen_keys.add(key_node.value)
        return super().construct_mapping(node, deep)

    def construct_yaml_int(self, node: yaml.ScalarNode) -> int:
        """Refuse integers that Python doesn't convert to decimal digits."""
        value = super().construct_yaml_int(node)
        if abs(value) > MAX_INTEGER:
            _refuse("number too large", node)
        return value


_Loader.add_constructor("tag:yaml.org,2002:int", _Loader.construct_yaml_int)


def read_plain(path: Path) -> object:
    """Read plain values from a file: JSON if its name ends in .json, else YAML.

    Raises:
        DocumentError: The file can't be read or parsed.
    """
    body = read_body(path)
    parse = parse_json if path.suffix == ".json" else parse_yaml
    try:
        return parse(body)
    except DocumentError as error:
        raise DocumentError(error.faults, step=error.step, peer=str(path)) from error


def read_body(path: Path) -> bytes:
    """Read a file, but no more than one byte beyond the largest document.

    Raises:
        DocumentError: The file can't be read.
    """
    try:
        with path.open("rb") as file:
            return file.read(MAX_DOCUMENT_BYTES + 1)
    except (OSError, ValueError) as error:  # A path with a NUL is a ValueError.
        reason = getattr(error, "strerror", None) or str(error)
        raise _error(reason, str(path)) from error


def parse_yaml(body: bytes) -> object:
    """Return the values of a YAML document.

    Raises:
        DocumentError: Too large, not YAML, or with duplicate keys or aliases.
    """
    text = _decode(body)
    if not text.strip():
        raise _error("empty")
    try:
        return yaml.load(text, _Loader)  # _Loader derives from SafeLoader.
    except (yaml.YAMLError, ValueError, ArithmeticError, RecursionError) as error:
        raise _error(f"not YAML: {_one_line(error)}") from error


def parse_json(body: bytes) -> object:
    """Return the values of a JSON document.

    Raises:
        DocumentError: Too large, not JSON, or with duplicate keys.
    """
    if not _decode(body).strip():
        raise _error("empty")
    try:
        return parse_json_text(body, object_pairs_hook=_build_mapping)
    except FieldError as error:
        raise _error(error.reason) from error


def compose_yaml(body: bytes) -> yaml.Node | None:
    """Return the nodes of a YAML document, which know their lines.

    Raises:
        DocumentError: Not YAML.
    """
    try:
        return yaml.compose(_decode(body), _Loader)
    except (yaml.YAMLError, ValueError, RecursionError) as error:
        raise _error(f"not YAML: {_one_line(error)}") from error


def _one_line(error: Exception) -> str:
    """Return an error as one line; those of YAML quote the input on several."""
    return " ".join(str(error).split())


def _decode(body: bytes) -> str:
    if len(body) > MAX_DOCUMENT_BYTES:
        raise _error(f"larger than {MAX_DOCUMENT_BYTES} bytes")
    try:
        return body.decode()
    except UnicodeDecodeError as error:
        raise _error(f"not UTF-8: {error}") from error


def _refuse(reason: str, node: yaml.Node) -> None:
    raise yaml.constructor.ConstructorError(None, None, reason, node.start_mark)


def _build_mapping(pairs: list[tuple[str, object]]) -> dict[str, object]:
    mapping = {}
    for key, value in pairs:
        if key in mapping:
            raise ValueError(f"duplicate key {key!r}")
        mapping[key] = value
    return mapping


def _error(reason: str, peer: str | None = None) -> DocumentError:
    fault = Fault("", reason, rule=FILE_RULE)
    return DocumentError((fault,), step=_STEP, peer=peer)
