"""Cluster whose members enrol, change members by a policy, and end as planned."""

import asyncio

from arbutuslift.coordination.agreement.enrolment import Enrolment
from arbutuslift.coordination.agreement.membershipmanager import MembershipPolicy
from arbutuslift.coordination.agreement.votehandover import VoteHandover

from .cluster import Cluster

DATA_CENTRES = {
    "a": "dc-1",
    "b": "dc-2",
    "c": "dc-3",
    "d": "dc-1",
    "e": "dc-2",
    "f": "dc-3",
    "g": "dc-1",
}


class ManagedCluster(Cluster):
    """A cluster whose members enrol and change the membership by a policy."""

    def __init__(self, voters=3, **options):
        super().__init__(
            membership_policy=MembershipPolicy(voter_count=voters), **options
        )
        self.enrolments = {}
        self._enrolling = {}

    def start(self, *names, initial=None):
        super().start(*names, initial=initial)
        for name in names or self.names:
            member = self.members[name]
            enrolment = Enrolment(
                member, member._channel, self.clock, DATA_CENTRES[name], self.names
            )
            self.enrolments[name] = enrolment
            self._enrolling[name] = asyncio.ensure_future(enrolment.run())

    def data_centre_of(self, name):
        return DATA_CENTRES[name]

    async def kill(self, name):
        self._enrolling.pop(name).cancel()
        await super().kill(name)

    async def stop(self, name):
        """End a process as planned: with what a control instance does on SIGTERM."""
        self.enrolments[name].end()
        member = self.members[name]
        await VoteHandover(member, member._channel, self.clock).run()
        await self.kill(name)

    async def voters(self):
        name = await self.leader()
        statuses = await self.run_until_done(self.members[name].members())
        return sorted(s.name for s in statuses if s.role != "learner")

    async def run_until_voters(self, *names):
        wanted = sorted(names)
        for _ in range(200):
            await self.run(0.2)
            if self.leaders() and await self.voters() == wanted:
                return
        raise AssertionError(f"{await self.voters()} instead of {wanted}")
