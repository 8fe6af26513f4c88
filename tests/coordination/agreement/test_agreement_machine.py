"""Random series of starts, ends, additions, losses and orders on the real members.

Hypothesis draws the series, the same ones each time. The rules keep to the limits of
the users' pages: one instance at most is lost at once, and one that is removed doesn't
count if its successor has had its time. Planned ends are no losses. Half of the
instances and more aren't removed at once without a signal: who is left couldn't tell
that from a partition into halves, in which only one side may go on.
"""

import asyncio

from hypothesis import HealthCheck, Phase, settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from arbutuslift.coordination.agreement.memberstate import Role
from arbutuslift.errors import ConfigurationConflict, NoQuorum

from .formingcluster import ACK_LIMIT_S, FormingCluster

# An instance counts as lost until it has had this time since it came back.
CATCH_UP_S = 4.0
SPARES = "def"
pauses_s = st.sampled_from((0.0, 0.001, 0.01, 0.1, 0.5, 1.0, 2.0, CATCH_UP_S))


class AgreementMachine(RuleBasedStateMachine):
    """Three initial members, three spare instances, and an operator."""

    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.cluster = None
        self.unstarted = []
        self.removed = set()
        self.ready_s = {}
        self.lost = None
        self.isolated = None
        self.settled_s = 0.0
        self.revision = 0
        self.sent = 0
        self.leaders = {}

    def run(self, work):
        return self.loop.run_until_complete(work)

    def teardown(self):
        """End each series with an order, after all faults have ended."""
        if self.cluster is not None:
            try:
                self.check_at_the_end()
            finally:
                self.run(self.cluster.close())
        self.loop.close()

    def check_at_the_end(self):
        if self.isolated is not None:
            self.heal()
        if not self.unstarted:
            self.order_in_calm()

    def make_cluster(self, seed):
        async def make():
            return FormingCluster(seed=seed)

        self.cluster = self.run(make())
        self.unstarted = list(self.cluster.names)

    @property
    def now_s(self):
        return self.cluster.clock.monotonic_s()

    @property
    def running(self):
        return sorted(self.cluster.members)

    @property
    def has_formed(self):
        return self.revision > 0

    def is_calm(self):
        """Return whether no instance counts as lost, also by a start a while ago."""
        is_late = any(self.now_s < ready_s for ready_s in self.ready_s.values())
        return self.lost is None and not is_late and self.now_s >= self.settled_s

    def begin(self, *names, is_first=False):
        async def begin():
            (self.cluster.start_first if is_first else self.cluster.start)(*names)

        self.run(begin())
        for name in names:
            self.ready_s[name] = self.now_s + CATCH_UP_S

    @precondition(lambda self: self.unstarted)
    @rule(data=st.data())
    def start_for_the_first_time(self, data):
        name = data.draw(st.sampled_from(self.unstarted))
        self.unstarted.remove(name)
        self.begin(name, is_first=True)

    @precondition(lambda self: self.running and not self.has_formed)
    @rule(data=st.data(), pause_s=pauses_s)
    def end_and_start_again_before_the_first_order(self, data, pause_s):
        name = data.draw(st.sampled_from(self.running))
        self.run(self.cluster.kill(name))
        self.run(self.cluster.run(pause_s))
        self.begin(name)

    @precondition(lambda self: self.has_formed)
    @rule(data=st.data())
    def add(self, data):
        spares = [n for n in SPARES if n not in self.cluster.storages]
        spares = [n for n in spares if n not in self.removed]
        if spares:
            self.begin(data.draw(st.sampled_from(spares)))

    @precondition(lambda self: self.has_formed and self.is_calm())
    @rule(data=st.data(), is_wiped=st.booleans(), pause_s=pauses_s)
    def lose(self, data, is_wiped, pause_s):
        """Kill an instance, or take its disk, and start it again."""
        name = data.draw(st.sampled_from(self.running))
        self.run(self.cluster.wipe(name) if is_wiped else self.cluster.kill(name))
        self.run(self.cluster.run(pause_s))
        self.begin(name)

    @precondition(lambda self: self.has_formed and self.is_calm())
    @rule(data=st.data())
    def isolate(self, data):
        self.lost = self.isolated = data.draw(st.sampled_from(self.running))
        self.cluster.isolate(self.isolated)

    @precondition(lambda self: self.isolated is not None)
    @rule()
    def heal(self):
        self.cluster.network.heal()
        self.ready_s[self.isolated] = self.now_s + CATCH_UP_S
        self.lost = self.isolated = None

    def removable(self):
        """Return how many instances may be removed: as many as have successors."""
        caught_up = [n for n in self.running if self.ready_s[n] <= self.now_s]
        return len(caught_up) - len(self.cluster.names)

    @precondition(
        lambda self: self.has_formed and self.is_calm() and self.removable() > 0
    )
    @rule(data=st.data(), gap_s=pauses_s)
    def remove_as_planned(self, data, gap_s):
        """Stop instances for good, one some time after the other."""
        order = data.draw(st.permutations(self.running))
        names = order[: self.removable()]
        self.removed.update(names)
        self.run(self.stop_in_series(names, gap_s))
        for name in names:
            del self.ready_s[name]

    @precondition(
        lambda self: self.has_formed and self.is_calm() and self.removable() > 0
    )
    @rule(data=st.data(), gap_s=pauses_s)
    def remove_without_a_signal(self, data, gap_s):
        """Kill instances for good, one some time after the other."""
        order = data.draw(st.permutations(self.running))
        fewer_than_half = (len(self.running) - 1) // 2
        names = order[: min(self.removable(), fewer_than_half)]
        self.removed.update(names)
        for name in names:
            self.run(self.cluster.wipe(name))
            self.run(self.cluster.run(gap_s))
            del self.ready_s[name]
        self.settled_s = self.now_s + CATCH_UP_S

    async def stop_in_series(self, names, gap_s):
        stops = []
        for name in names:
            stops.append(asyncio.ensure_future(self.cluster.stop(name)))
            await self.cluster.run(gap_s)
        await self.cluster.run_until(lambda: all(stop.done() for stop in stops))
        for stop in stops:
            stop.result()

    @precondition(lambda self: self.has_formed and self.is_calm())
    @rule(data=st.data(), pause_s=pauses_s)
    def restart_as_planned(self, data, pause_s):
        name = data.draw(st.sampled_from(self.running))
        self.run(self.stop_in_series([name], 0.0))
        self.run(self.cluster.run(pause_s))
        self.begin(name)

    @precondition(lambda self: self.running and self.sent < 12)
    @rule(data=st.data())
    def order(self, data):
        """Send an order to one instance; it may stay unanswered."""
        name = data.draw(st.sampled_from(self.running))
        self.sent += 1
        try:
            stored = self.run(self.cluster.submit(name, f"q{self.sent}", self.revision))
        except (ConfigurationConflict, NoQuorum):
            return
        assert stored.revision == self.revision + 1
        self.revision = stored.revision

    @rule(pause_s=pauses_s)
    def wait(self, pause_s):
        self.run(self.cluster.run(pause_s))

    @precondition(lambda self: not self.unstarted and self.lost is None)
    @rule()
    def order_in_calm(self):
        """Wait until nothing counts as lost; then an order must be acknowledged."""
        wait_s = max((self.settled_s, *self.ready_s.values())) - self.now_s
        self.run(self.cluster.run(max(0.0, wait_s)))
        expected = self.newest_revision()
        self.sent += 1
        started_s = self.now_s
        stored = self.run(self.cluster.accepts_an_order(f"q{self.sent}", expected))
        assert self.now_s - started_s < ACK_LIMIT_S
        self.revision = stored.revision

    def newest_revision(self):
        """Read the newest revision; it is no older than what was acknowledged."""
        for name in self.running:
            try:
                stored = self.run(
                    self.cluster.run_until_done(self.cluster.members[name].current())
                )
            except NoQuorum:
                continue
            found = stored.revision if stored else 0
            assert found >= self.revision, "an acknowledged revision is gone"
            return found
        raise AssertionError("no instance answers a read")

    @invariant()
    def one_cluster_has_entries(self):
        if self.cluster is not None:
            assert len(self.cluster.clusters_with_entries()) <= 1

    @invariant()
    def each_term_has_one_leader(self):
        for name, member in self.cluster.members.items() if self.cluster else ():
            state = member._state
            if state.role is Role.LEADER:
                identity = self.leaders.setdefault(state.term, state.identity)
                assert identity == state.identity, f"{name} leads a term of another"


class FirstStartMachine(AgreementMachine):
    """Begins before the first start."""

    @initialize(seed=st.integers(0, 1000))
    def begin_without_a_cluster(self, seed):
        self.make_cluster(seed)


class FormedMachine(AgreementMachine):
    """Begins with a cluster, and with spare instances that have caught up."""

    @initialize(seed=st.integers(0, 1000), spares=st.integers(0, len(SPARES)))
    def begin_with_a_cluster(self, seed, spares):
        self.make_cluster(seed)
        self.unstarted.clear()
        self.begin(*self.cluster.names, is_first=True)
        self.order_in_calm()
        for name in SPARES[:spares]:
            self.begin(name)
        self.run(self.cluster.run(2 * CATCH_UP_S))


SEARCH = settings(
    max_examples=60,
    stateful_step_count=12,
    phases=(Phase.explicit, Phase.generate),
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=list(HealthCheck),
)
TestFirstStart = FirstStartMachine.TestCase
TestFirstStart.settings = SEARCH
TestFormed = FormedMachine.TestCase
TestFormed.settings = SEARCH
