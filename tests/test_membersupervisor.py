"""Disks of control instances are full in turn, with orders before, during and after.

Each disk in turn takes no more bytes for a few seconds, never two at once, while orders
keep coming. No storage error may end a process, and all orders are acknowledged soon
after the last disk has room again.
"""

import asyncio
import errno
import os
from contextlib import AsyncExitStack

import pytest
import structlog
from attrs import evolve

from arbutuslift import membersupervisor
from arbutuslift.clock import SystemClock
from arbutuslift.errors import ArbutusliftError
from arbutuslift.membersupervisor import MemberSupervisor
from arbutuslift.protocol.channel import Channel
from arbutuslift.rolesettings import ControlSettings
from arbutuslift.state import files
from arbutuslift.state.agreedstate import PutConfiguration
from arbutuslift.transport.bus import MemoryNetwork

NAMES = ("a", "b", "c")
FULL_S = 0.9
PAUSE_S = 0.7
# An order may wait for an election and is sent again by its operator until then.
ACK_LIMIT_S = 5.0


class Disks:
    """Refuses writes to files in the folders of members whose disk is full."""

    def __init__(self, monkeypatch, tmp_path):
        self.full = set()
        self.folders = {name: tmp_path / name for name in NAMES}
        self._write = files.write_all
        monkeypatch.setattr(files, "write_all", self.write_all)
        monkeypatch.setattr(
            "arbutuslift.state.disklog.write_all", self.write_all, raising=True
        )

    def write_all(self, descriptor, content):
        path = os.readlink(f"/proc/self/fd/{descriptor}")
        if any(path.startswith(str(self.folders[name])) for name in self.full):
            # A part of the record may fit before the disk is full.
            self._write(descriptor, content[:5])
            raise OSError(errno.ENOSPC, "No space left on device")
        self._write(descriptor, content)


class Controls:
    """Three supervisors on a memory network with real folders."""

    def __init__(self, disks):
        self.clock = SystemClock()
        self.failures = []
        self.version = 0
        network = MemoryNetwork(self.clock)
        self.supervisors = {}
        for name in NAMES:
            settings = ControlSettings(
                name=name,
                listen=name,
                data_centre=f"dc-{name}",
                data_folder=disks.folders[name],
                seeds=NAMES,
                is_bootstrap=True,
                voter_count=3,
                announcement_interval_s=1.0,
            )
            self.supervisors[name] = MemberSupervisor(
                settings,
                Channel(network.bus(name)),
                self.clock,
                lambda stored: None,
                self.failures.append,
            )
        self.tasks = [
            asyncio.ensure_future(supervisor.run())
            for supervisor in self.supervisors.values()
        ]

    async def close(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    @property
    def leader(self):
        for name, supervisor in self.supervisors.items():
            if supervisor.member is not None and supervisor.member.is_leader:
                return name
        return None

    async def order(self):
        """Send an order to one instance after another until it is acknowledged."""
        self.version += 1
        order = PutConfiguration(version=self.version, source=b"x" * 2000)
        async with asyncio.timeout(ACK_LIMIT_S):
            while True:
                for supervisor in self.supervisors.values():
                    try:
                        async with asyncio.timeout(1.0):
                            await supervisor.order_processor.submit(order)
                        return
                    except (ArbutusliftError, TimeoutError):
                        await asyncio.sleep(0.02)

    async def orders_for(self, duration_s):
        end_s = self.clock.monotonic_s() + duration_s
        while self.clock.monotonic_s() < end_s:
            await self.order()
            await asyncio.sleep(0.05)


@pytest.fixture
def disks(monkeypatch, tmp_path):
    return Disks(monkeypatch, tmp_path)


@pytest.fixture
async def controls(disks):
    async with AsyncExitStack() as stack:
        opened = Controls(disks)
        stack.push_async_callback(opened.close)
        await opened.order()
        yield opened


@pytest.fixture
async def steady_controls(disks, monkeypatch):
    """Controls whose leader isn't lost because this machine is busy."""
    timing = evolve(membersupervisor.TIMING, election_timeout_s=30.0)
    monkeypatch.setattr(membersupervisor, "TIMING", timing)
    async with AsyncExitStack() as stack:
        opened = Controls(disks)
        stack.push_async_callback(opened.close)
        await opened.order()
        yield opened


async def test_full_disks_in_turn_end_no_process_and_refuse_no_order(controls, disks):
    for name in (*NAMES, *NAMES):
        disks.full = {name}
        await controls.orders_for(FULL_S)
        disks.full = set()
        await controls.orders_for(PAUSE_S)
    assert controls.failures == []
    states = [
        await supervisor.order_processor.current()
        for supervisor in controls.supervisors.values()
    ]
    assert {state.version for state in states} == {controls.version}


async def test_the_disks_of_leaders_are_full_when_snapshots_are_due(
    controls, disks, monkeypatch
):
    monkeypatch.setattr(
        "arbutuslift.coordination.agreement.memberstate.SNAPSHOT_ENTRIES", 3
    )
    for _ in range(4):
        while controls.leader is None:
            await asyncio.sleep(0.02)
        disks.full = {controls.leader}
        await controls.orders_for(FULL_S)
        disks.full = set()
        await controls.orders_for(PAUSE_S)
    assert controls.failures == []


async def test_a_full_disk_takes_its_member_out_once(steady_controls, disks):
    """Guards against a busy loop, lines by the hundred, and a disturbed leader."""
    controls = steady_controls
    name = next(name for name in NAMES if name != controls.leader)
    with structlog.testing.capture_logs() as lines:
        disks.full = {name}
        await controls.orders_for(3.0)
    events = [line["event"] for line in lines]
    assert events.count("member_stopped") == 1
    assert events.count("member_waits_for_disk") == 1
    assert "leader_elected" not in events
    assert controls.supervisors[name].member is None


async def test_the_member_is_back_within_a_second_of_room(controls, disks, monkeypatch):
    probes = []

    def probe(folder):
        probes.append(folder)
        files.check_writable(folder)

    name = next(name for name in NAMES if name != controls.leader)
    disks.full = {name}
    await controls.orders_for(2.0)
    monkeypatch.setattr(membersupervisor, "check_writable", probe)
    disks.full = set()
    async with asyncio.timeout(30):
        while controls.supervisors[name].member is None:
            await asyncio.sleep(0.02)
    assert len(probes) * membersupervisor.REOPEN_DELAY_S <= 1.0
    assert controls.supervisors[name].member.fault is None


async def test_an_order_at_the_leader_whose_disk_fills_up_is_answered(controls, disks):
    """Guards against an error in the processing of orders that ends the process."""
    while controls.leader is None:
        await asyncio.sleep(0.02)
    name = controls.leader
    disks.full = {name}
    order = PutConfiguration(version=1000, source=b"x")
    with pytest.raises(ArbutusliftError):
        async with asyncio.timeout(ACK_LIMIT_S):
            await controls.supervisors[name].order_processor.submit(order)
    await asyncio.sleep(0.5)
    assert controls.failures == []
    controls.version = 1000
    await controls.order()


class TestFiles:
    def test_a_failed_write_leaves_no_temporary_file(self, disks, tmp_path):
        folder = disks.folders["a"]
        folder.mkdir()
        files.replace_file(folder / "x", b"old")
        disks.full = {"a"}
        with pytest.raises(OSError, match="No space"):
            files.replace_file(folder / "x", b"new content")
        assert [path.name for path in folder.iterdir()] == ["x"]
        assert (folder / "x").read_bytes() == b"old"

    def test_leftovers_of_a_crash_are_removed_when_a_member_opens(self, tmp_path):
        (tmp_path / "starts.tmp").write_bytes(b"half")
        files.remove_temporary_files(tmp_path)
        assert list(tmp_path.iterdir()) == []

    def test_the_probe_leaves_nothing_behind(self, disks):
        folder = disks.folders["a"]
        folder.mkdir()
        files.check_writable(folder)
        disks.full = {"a"}
        with pytest.raises(ArbutusliftError):
            files.check_writable(folder)
        assert list(folder.iterdir()) == []
