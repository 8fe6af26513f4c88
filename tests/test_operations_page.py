"""The page for operators: its commands succeed and its tables are complete."""

import re
import shlex
import shutil
from pathlib import Path

import pytest

from arbutuslift import rulespage
from arbutuslift.clock import ManualClock
from arbutuslift.commands.outcome import ExitCode
from arbutuslift.controlmetrics import ControlMetrics
from arbutuslift.coordination.agreement.store import MemberStatus
from arbutuslift.coordination.dissemination.feedserver import FeedServer
from arbutuslift.coordination.dissemination.loadregistry import LoadRegistry
from arbutuslift.coordination.routing.flowtagrouter import Verdict as FlowVerdict
from arbutuslift.coordination.routing.forwarding import BAD_PACKET
from arbutuslift.coordination.routing.locality import LocalityWeights
from arbutuslift.coordination.routing.slotrouter import Verdict
from arbutuslift.ctl import COMMANDS
from arbutuslift.entrymetrics import EntryMetrics
from arbutuslift.explanation import explain
from arbutuslift.loadmetrics import (
    control_load_families,
    entry_load_families,
    locality_families,
)
from arbutuslift.protocol.channel import Channel
from arbutuslift.rolesettings import LoadSettings
from arbutuslift.sharedload import SharedLoad
from arbutuslift.transport.bus import MemoryNetwork

from .builders import egress_queue, entry_settings
from .coordination.routing.test_flowtagrouter import RouterHarness
from .fakes import FakeSystem

DOCS = Path(__file__).parents[1] / "docs"
PAGE = (DOCS / "OPERATIONS.md").read_text()
PROGRAM = "    arbutusliftctl "
LINES = [
    line.removeprefix(PROGRAM) for line in PAGE.splitlines() if line.startswith(PROGRAM)
]


async def test_every_command_of_the_page_succeeds(tmp_path, monkeypatch):
    monkeypatch.chdir(tmp_path)
    shutil.copytree(DOCS / "examples", tmp_path / "examples")
    system = FakeSystem()
    names = ("madrid-1-1", "madrid-2-1", "madrid-3-1")
    system.store.member_list = [
        MemberStatus(name=name, identity="0" * 32, role="voter", matched_index=1)
        for name in names
    ]
    for line in LINES:
        command, _, target = line.partition(" > ")
        words = shlex.split(command)
        if words[0] == "form":
            shutil.copy(DOCS / "examples" / "agencia.yaml", words[1])
            continue  # test_ctl covers the questions of the form
        assert await system.run(*words) == ExitCode.DONE, line
        if target:
            Path(target).write_text(system.output[-1])
    assert {line.split()[0] for line in LINES} == set(COMMANDS)


@pytest.mark.parametrize(
    ("identifier", "name", "cause"),
    [
        ("3e898f410340bb44", "data-centre-cut", "couldn't be reached"),
        ("cf39e12f79d47cc2", "lost-upstream", "couldn't be reached"),
        ("c61200046440000420fb0404", "no-route", "no route"),
    ],
)
def test_the_recorded_cases_have_the_causes_that_the_page_gives(
    identifier, name, cause
):
    lines = (DOCS / "examples" / f"{name}.log").read_text().splitlines()
    found = explain(identifier, lines)
    assert cause in found.cause
    assert found.bad_lines == 0


def test_every_verdict_of_flows_with_tags_is_explained():
    explained = set(re.findall(r"`(\w+)`", PAGE))
    assert {verdict.value for verdict in FlowVerdict} <= explained


def first_cells() -> set[str]:
    return set(re.findall(r"^\| `?(\w+)`? \|", PAGE, re.MULTILINE))


def test_every_counter_and_exit_code_is_explained():
    assert {*Verdict, BAD_PACKET} <= first_cells()
    codes = dict(re.findall(r"^\| (\d) \| `(\w+)`", PAGE, re.MULTILINE))
    assert codes == {str(int(code)): code.name.lower() for code in ExitCode}


def test_the_list_of_rules_is_up_to_date():
    # Run the command in the marker of the page after a change of the table.
    assert rulespage.render(PAGE) == PAGE


def test_every_metric_of_both_roles_is_on_the_page():
    """Guards against metrics that aren't documented."""
    entry = RouterHarness()
    feed = FeedServer(
        Channel(MemoryNetwork(ManualClock()).bus("a")), ManualClock(), 1, 1.0, tuple
    )
    families = [
        *EntryMetrics(
            entry.router, entry.directory, egress_queue(entry.clock)
        ).families(),
        *ControlMetrics().families(feed, None),
        *entry_load_families(
            SharedLoad(entry_settings(), entry.clock, entry.directory)
        ),
        *control_load_families(LoadRegistry(entry.clock, feed.registry)),
        *locality_families(LocalityWeights(entry.clock, "dc-1", LoadSettings())),
    ]
    assert {family.name for family in families if family.name not in PAGE} == set()
