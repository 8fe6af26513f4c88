"""Fakes of interfaces whose implementations are tested elsewhere."""

import asyncio
import itertools
from collections.abc import Callable, Coroutine
from typing import TypeVar

from attrs import evolve

from arbutuslift.clock import ManualClock
from arbutuslift.commands.environment import Environment
from arbutuslift.coordination.agreement.store import ConfigurationStore, MemberStatus
from arbutuslift.coordination.dissemination.loadquery import KnownLoad, LoadQueryServer
from arbutuslift.coordination.operators import OperatorsService, upstream_statuses
from arbutuslift.ctl import execute
from arbutuslift.errors import (
    ConfigurationConflict,
    MembershipChangeError,
    NoQuorum,
)
from arbutuslift.protocol.channel import Channel
from arbutuslift.protocol.operators import InstanceStatus
from arbutuslift.state.configuration import StoredRevision, Submission
from arbutuslift.state.upstreams import UpstreamView
from arbutuslift.transport.bus import MemoryNetwork

from . import builders

T = TypeVar("T")


class FakeStore(ConfigurationStore):
    """Agreed revisions in memory; ``on_accept`` runs before an answer is sent."""

    def __init__(self) -> None:
        self.revisions: list[StoredRevision] = []
        self.has_quorum = True
        self.on_accept = lambda: None
        self.replacements = 0
        self.member_list = [
            MemberStatus(name=name, identity="0" * 32, role=role, matched_index=1)
            for name, role in (("m1", "leader"), ("m2", "voter"))
        ]

    def _check_quorum(self) -> None:
        if not self.has_quorum:
            raise NoQuorum("1 of 3 members answered", step="replicate")

    async def submit(self, submission: Submission) -> StoredRevision:
        self._check_quorum()
        for stored in self.revisions:
            if stored.submission.request_id == submission.request_id:
                return stored
        if submission.expected_revision != len(self.revisions):
            current = self.revisions[-1] if self.revisions else None
            raise ConfigurationConflict("stale", current=current, step="submit")
        number = len(self.revisions) + 1
        self.revisions.append(StoredRevision(revision=number, submission=submission))
        self.on_accept()
        return self.revisions[-1]

    async def current(self) -> StoredRevision | None:
        self._check_quorum()
        return self.revisions[-1] if self.revisions else None

    async def history(self, limit: int) -> list[StoredRevision]:
        return self.revisions[::-1][:limit]

    async def members(self) -> list[MemberStatus]:
        return self.member_list

    async def replace_member(self, old_name: str, new_name: str) -> None:
        self._check_quorum()
        names = [member.name for member in self.member_list]
        if old_name not in names:
            raise MembershipChangeError(f"no member {old_name}", step="replace")
        self.replacements += 1
        index = names.index(old_name)
        self.member_list[index] = evolve(self.member_list[index], name=new_name)
        self.on_accept()


class ThreadCounter:
    """Replacement of ``asyncio.to_thread`` that counts the running threads."""

    def __init__(self) -> None:
        self.active = 0
        self._to_thread = asyncio.to_thread

    async def to_thread(self, function: Callable[..., T], *arguments: object) -> T:
        """Run a function in a thread."""
        self.active += 1
        try:
            return await self._to_thread(function, *arguments)
        finally:
            self.active -= 1


async def run_until_done(
    clock: ManualClock,
    coroutine: Coroutine[None, None, T],
    threads: ThreadCounter | None = None,
) -> T:
    """Advance the clock until the coroutine is done, but not while threads run."""
    task = asyncio.create_task(coroutine)
    while not task.done():
        while threads is not None and threads.active:
            await asyncio.sleep(0.001)
        await clock.advance(0.05)
    return task.result()


class FakeSystem:
    """Members ``m1`` and ``m2``, entry instance ``e1`` and operators' clients."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.network = MemoryNetwork(self.clock)
        self.store = FakeStore()
        self.view = UpstreamView()
        self.view.merge(builders.upstream(1))
        self.load = KnownLoad(
            rows=(builders.service_load(), builders.service_load(data_centre="dc-2")),
            is_demand_known=True,
        )
        self.output: list[str] = []
        self.notes: list[str] = []
        self.answers: list[str] = []
        self.clients: list[str] = []
        self._request_numbers = itertools.count(1)
        for name, store in (("m1", self.store), ("m2", self.store), ("e1", None)):
            self.add_instance(name, store)

    def add_instance(self, name: str, store: ConfigurationStore | None) -> None:
        channel = Channel(self.network.bus(name))
        LoadQueryServer(channel, lambda: self.load)
        OperatorsService(
            channel,
            self.clock,
            store=store,
            members=lambda: ["m1", "m2"],
            instances=lambda: [
                InstanceStatus(
                    name=name,
                    data_centre="dc-1",
                    endpoint="tcp://127.0.0.1:7300",
                    state="alive",
                    revision=len(self.store.revisions),
                )
            ],
            upstreams=lambda: upstream_statuses(self.view),
        )

    def _open_bus(self, options):
        del options
        self.clients.append(f"operator-{len(self.clients)}")
        return self.network.bus(self.clients[-1])

    def _ask(self, question: str) -> str:
        del question
        if not self.answers:
            raise EOFError
        return self.answers.pop(0)

    def execute(self, *words: str) -> Coroutine[None, None, int]:
        """Run a command line, by default with the servers e1 and m1 in this order."""
        environment = Environment(
            clock=self.clock,
            open_bus=self._open_bus,
            write=self.output.append,
            note=self.notes.append,
            ask=self._ask,
            new_request_id=lambda: f"request-{next(self._request_numbers)}",
        )
        servers = "--servers=e1=127.0.0.1:1,m1=127.0.0.1:2"
        words = words if "--servers" in " ".join(words) else (*words, servers)
        return execute(["arbutusliftctl", *words], environment)

    async def run(self, *words: str) -> int:
        return await run_until_done(self.clock, self.execute(*words))

    def lose_next_answer(self) -> None:
        """Cut the connections of the clients when the next change has been made."""

        def partition() -> None:
            self.network.partition(["e1", "m1", "m2"], self.clients)
            self.store.on_accept = lambda: None

        self.store.on_accept = partition
