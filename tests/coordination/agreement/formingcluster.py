"""Cluster whose disks hold whom they form a cluster with."""

from arbutuslift.errors import NoQuorum
from arbutuslift.membersupervisor import TIMING
from arbutuslift.state.formation import FormationIntent

from ..managedcluster import ManagedCluster

ACK_LIMIT_S = 5.0


class FormingCluster(ManagedCluster):
    """Instances whose disks hold whom they form a cluster with.

    Only the first start of an instance is told that the whole system starts. A process
    that ends before it has stored that starts again without knowing it.
    """

    def __init__(self, names="abc", seed=1):
        super().__init__(voters=len(names), names=names, seed=seed, timing=TIMING)
        self.intents = {}

    def intent_of(self, name):
        return self.intents.setdefault(name, FormationIntent((), self.names))

    def start_first(self, *names):
        for name in names:
            self.intent_of(name).adopt(self.names)
        self.start(*names)

    async def wipe(self, name):
        await super().wipe(name)
        self.intents.pop(name, None)

    def clusters_with_entries(self):
        return {
            storage.terms.load().cluster
            for storage in self.storages.values()
            if storage.log.last_index > 0
        }

    async def accepts_an_order(self, request_id, expected=0):
        for name in list(self.members):
            try:
                return await self.submit(name, request_id, expected)
            except NoQuorum:
                continue
        raise AssertionError("no order is accepted")
