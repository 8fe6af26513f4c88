"""Command that prompts for the fields of a document and writes it to a file."""

from collections.abc import Callable
from pathlib import Path

from attrs import frozen

from ..errors import DocumentError, Fault, UsageError
from ..protocol.document import (
    Document,
    structure_document,
    to_canonical_json,
)
from ..protocol.documentchecks import find_faults, load_schema
from .documents import to_yaml
from .environment import Environment
from .options import Options
from .outcome import Outcome

_LABELS = {"services": "service", "data_centres": "data centre"}
_DEFINITIONS = {"services": "service", "data_centres": "data_centre"}
_BOOLEANS = {
    "yes": True,
    "y": True,
    "true": True,
    "no": False,
    "n": False,
    "false": False,
}


@frozen(kw_only=True)
class WrittenFile:
    """The file that a form wrote."""

    path: str


async def form(options: Options, environment: Environment) -> Outcome:
    """Ask for every field of a document and write it to a file."""
    if len(options.arguments) != 1:
        raise UsageError("form needs the file to write", step="form")
    path = Path(options.arguments[0])
    if path.exists() and not options.overwrite:
        raise UsageError(f"{path} exists; give --overwrite", step="form")
    try:
        document = Form(environment.ask, environment.note).run()
    except EOFError as error:
        message = "the input ended before the form was complete; nothing was written"
        raise UsageError(message, step="form") from error
    _write(path, document)
    return Outcome(
        message=f"wrote {path}; submit it with apply",
        result=WrittenFile(path=str(path)),
    )


class Form:
    """Prompts for the fields of a document and checks each answer.

    Args:
        ask: Prompts with a question and returns the answer.
        note: Prints why an answer was refused.
    """

    def __init__(self, ask: Callable[[str], str], note: Callable[[str], None]) -> None:
        self._ask = ask
        self._note = note
        self._content: dict[str, list] = {"services": [], "data_centres": []}
        self._definitions = load_schema()["$defs"]

    def run(self) -> Document:
        """Ask for all fields and return the document."""
        for group in self._content:
            self._ask_group(group)
        return structure_document(self._content)

    def _ask_group(self, group: str) -> None:
        while True:
            count = len(self._content[group])
            question = f"Add a {_LABELS[group]} ({count} so far)? yes/no: "
            answer = _BOOLEANS.get(self._ask(question).strip().lower())
            if answer:
                self._ask_entry(group)
            elif answer is None:
                self._note("  answer yes or no")
            elif not self._report_faults(group):
                return

    def _ask_entry(self, group: str) -> None:
        definition = self._definitions[_DEFINITIONS[group]]
        entry: dict[str, object] = {}
        self._content[group].append(entry)
        index = len(self._content[group]) - 1
        for name, rules in definition["properties"].items():
            while True:
                value = _parse(self._ask(_question(name, rules)), rules)
                entry[name] = value
                if not self._report_faults(f"{group}[{index}].{name}"):
                    break

    def _report_faults(self, path: str) -> bool:
        """Print the faults at a path or below it and return whether there are any."""
        faults = [
            fault for fault in find_faults(self._content) if _is_at_path(fault, path)
        ]
        for fault in faults:
            self._note(f"  {fault.reason}")
        return bool(faults)


def _is_at_path(fault: Fault, path: str) -> bool:
    if "." not in path:
        return fault.path == path
    return fault.path == path or fault.path.startswith(f"{path}[")


def _question(name: str, rules: dict) -> str:
    choices = "/".join(rules["enum"]) if "enum" in rules else rules.get("type", "name")
    default = (
        f", else {_format_default(rules['default'])}" if "default" in rules else ""
    )
    help_text = rules.get("description", "")
    type_hints = {"boolean": "yes/no", "array": "names, separated by commas"}
    return (
        f"{help_text}\n{name} ({type_hints.get(choices, choices)}{default}): ".lstrip()
    )


def _format_default(value: object) -> str:
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, list):
        return ", ".join(value) or "none"
    return str(value) or "none"


def _parse(answer: str, rules: dict) -> object:
    """Return the value of an answer.

    A malformed answer is returned as text, which the check of the document refuses.
    """
    text = answer.strip()
    if not text and "default" in rules:
        return rules["default"]
    try:
        match rules.get("type"):
            case "integer":
                return int(text)
            case "number":
                return float(text)
            case "boolean":
                return _BOOLEANS.get(text.lower(), text)
            case "array":
                return [part.strip() for part in text.split(",")]
    except ValueError:
        return text
    return text


def _write(path: Path, document: Document) -> None:
    if path.suffix == ".json":
        text = to_canonical_json(document).decode() + "\n"
    else:
        text = to_yaml(document)
    try:
        path.write_text(text)
    except OSError as error:
        fault = Fault("", error.strerror or str(error))
        raise DocumentError((fault,), step="write document", peer=str(path)) from error
