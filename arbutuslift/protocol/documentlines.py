"""Lines of a document file at which its values stand."""

import re
from collections.abc import Iterable
from pathlib import Path

import yaml
from attrs import define, evolve, field

from ..errors import DocumentError, Fault
from .documentfile import compose_yaml, read_body

_JSON_TOKEN = re.compile(r'"(?:[^"\\]++|\\.?)*+"?|[{}\[\],:]|\n|[^\s{}\[\],:"]++')
_STEP_OF_PATH = re.compile(r"\[(\d+)\]|([^.\[\]]+)")


@define
class _Position:
    """Line of a value, and the positions of the values in it."""

    line: int
    children: dict[str | int, "_Position"] = field(factory=dict)


def with_lines(path: Path, faults: Iterable[Fault]) -> tuple[Fault, ...]:
    """Add the lines of a file to the faults of its document.

    A missing field has the line of the object that lacks it.

    Args:
        path: File that was parsed without an error.
        faults: Faults with paths in the document.
    """
    faults = tuple(faults)
    if not any(fault.path for fault in faults):
        return faults
    try:
        body = read_body(path)
        if path.suffix == ".json":
            root = _json_positions(body.decode())
        else:
            root = _yaml_positions(compose_yaml(body))
    except (DocumentError, UnicodeDecodeError):  # The file has changed meanwhile.
        return faults
    return tuple(evolve(fault, line=_find_line(root, fault.path)) for fault in faults)


def _find_line(root: _Position, path: str) -> int:
    if not path:
        return 0
    position = root
    for index, name in _STEP_OF_PATH.findall(path):
        child = position.children.get(int(index) if index else name)
        if child is None:
            return position.line
        position = child
    return position.line


def _yaml_positions(node: yaml.Node | None) -> _Position:
    if node is None:
        return _Position(1)
    position = _Position(node.start_mark.line + 1)
    if isinstance(node, yaml.MappingNode):
        for key, value in node.value:
            child = _yaml_positions(value)
            child.line = key.start_mark.line + 1
            position.children[key.value] = child
    elif isinstance(node, yaml.SequenceNode):
        for index, value in enumerate(node.value):
            position.children[index] = _yaml_positions(value)
    return position


def _json_positions(text: str) -> _Position:
    """Return the positions of JSON text that has been parsed without an error."""
    root = _Position(1)
    stack: list[_Position] = [root]
    line, key, previous = 1, None, ""
    for match in _JSON_TOKEN.finditer(text):
        token = match.group()
        if token == "\n":
            line += 1
            continue
        if token == ":":
            key = previous[1:-1]
        elif token in ("}", "]"):
            stack.pop()
        elif token != "," and not _is_key(text, match.end()):
            child = root if len(stack) == 1 else _Position(line)
            if child is not root:
                children = stack[-1].children
                children[len(children) if key is None else key] = child
            if token in ("{", "["):
                stack.append(child)
            key = None
        previous = token
    return root


def _is_key(text: str, end: int) -> bool:
    while end < len(text) and text[end] in " \t\r\n":
        end += 1
    return text[end : end + 1] == ":"
