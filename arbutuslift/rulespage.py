"""Writes the list of rules in docs/OPERATIONS.md from the table of rules."""

import sys
from pathlib import Path

from .protocol.configurationrules import RULES

BEGIN = "<!-- begin: python -m arbutuslift.rulespage docs/OPERATIONS.md -->\n"
END = "<!-- end -->\n"


def render(page: str) -> str:
    """Return the page with the current list of rules between its markers."""
    head, rest = page.split(BEGIN)
    _, tail = rest.split(END, maxsplit=1)
    rows = [f"| `{rule.name}` | {rule.severity} | {rule.meaning} |" for rule in RULES]
    table = ["| rule | severity | meaning |", "|---|---|---|", *rows]
    return head + BEGIN + "\n".join(table) + "\n" + END + tail


if __name__ == "__main__":
    path = Path(sys.argv[1])
    path.write_text(render(path.read_text()))
