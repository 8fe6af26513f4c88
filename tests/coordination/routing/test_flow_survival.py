"""Guards against flows that break when changes reach the instances at different times.

Random sequences of changes and packets run against instances whose views lag behind.
"""

import heapq
import itertools
import random

from attrs import evolve
from hypothesis import given, settings, strategies as st

from arbutuslift.clock import ManualClock
from arbutuslift.coordination.routing.denials import DenialBuffer
from arbutuslift.coordination.routing.services import ServiceTable
from arbutuslift.coordination.routing.slotrouter import SlotRouter, Verdict
from arbutuslift.protocol.document import DataCentre
from arbutuslift.protocol.packets import RST, SynPacket, decode
from arbutuslift.state.admission import Admission
from arbutuslift.state.flows import FlowCache
from arbutuslift.state.generations import GenerationRecord
from arbutuslift.state.upstreams import UpstreamState, UpstreamView
from arbutuslift.transport.fabric import Address
from standins.connections import FakeCaller, FakeUpstream

from ... import builders

INSTANCES = 3
MAX_DELAY_S = 3.0
SETTLED_S = 10.0
SERVICES = (
    builders.service(),
    builders.service(name="photos", address="127.10.0.2", kind="photos"),
)
VIPS = {s.name: builders.endpoint(s.address, s.port) for s in SERVICES}
FABRIC = Address("127.0.0.1", 7400)
STEPS = (
    ["open"] * 6
    + ["send"] * 8
    + ["wait", "wait", "close", "replay", "replay", "drain", "weight", "add", "remove"]
    + ["restart", "take over", "restart instance", "out of service", "in service"]
)


class RandomAdmission(Admission):
    """Refuses one SYN in four and sometimes returns an instance to relay it to."""

    def __init__(self, rng, names):
        self._rng = rng
        self._names = names

    def try_admit(self, record, priority):
        return self._rng.random() < 0.75

    def record_return_traffic(self, upstream_id):
        pass

    def record_restart(self, upstream_id):
        pass

    def relay_target(self, record, flow):
        return self._rng.choice([None, None, *self._names])


class Instance:
    """One instance with a view of its own, which lags behind."""

    def __init__(self, world, number):
        self.address = Address(f"127.30.0.{number}", 7300)
        self.services = ServiceTable(world.clock, UpstreamView())
        self.flows = FlowCache(64)
        self.denials = DenialBuffer(self.services, self.flows, world.to_caller)
        self.denials.report = world.report_denial
        names = [str(n) for n in range(INSTANCES)]
        self.router = SlotRouter(
            self.services,
            self.flows,
            admission=RandomAdmission(world.rng, names),
            denials=self.denials,
            instance_address=lambda name: world.instances[int(name)].address,
            is_instance=lambda address: address.ip.startswith("127.30."),
        )
        self.services.on_change.append(lambda change: world.gossip(self, change))

    def learn(self, record):
        self.services.view.merge(record)
        self.services.refresh_service(record.service)

    def merge(self, change):
        if isinstance(change, GenerationRecord):
            self.services.merge_generation(change)
        else:
            self.services.merge_spillover_mark(change)


class World:
    """Instances, upstreams and callers, with scheduled events."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.clock = ManualClock()
        self.counter = itertools.count(1)
        self.events = []
        self.configuration = builders.configuration(services=SERVICES)
        self.upstreams = {}
        self.dead = set()
        self.callers = {}
        self.sent_replies = []
        self.instances = []
        self.instances = [Instance(self, number) for number in range(INSTANCES)]
        for instance in self.instances:
            instance.services.apply(self.configuration)
            instance.services.is_history_known = True
        for number in range(1, 7):
            self.start(builders.upstream(number, **self.kind(number)))
        self.wait(SETTLED_S)

    def kind(self, number):
        name = SERVICES[number % 2].name
        return {"service": name, "work_kinds": (name,)}

    # Scheduled events.

    def schedule(self, action, *arguments):
        due_s = self.clock.monotonic_s() + self.rng.uniform(0, MAX_DELAY_S)
        heapq.heappush(self.events, (due_s, next(self.counter), action, arguments))

    def wait(self, duration_s):
        end_s = self.clock.monotonic_s() + duration_s
        while self.events and self.events[0][0] <= end_s:
            due_s, _, action, arguments = heapq.heappop(self.events)
            self.clock.jump(max(0.0, due_s - self.clock.monotonic_s()))
            self.release()
            action(*arguments)
        self.clock.jump(end_s - self.clock.monotonic_s())
        self.release()

    def release(self):
        for instance in self.instances:
            instance.denials.release_due()

    def broadcast(self, record):
        self.upstreams[record.upstream_id].record = record
        for number in range(INSTANCES):
            self.schedule(lambda n=number: self.instances[n].learn(record))

    def gossip(self, sender, change):
        for number in range(INSTANCES):
            if number >= len(self.instances) or self.instances[number] is not sender:
                self.schedule(lambda n=number: self.instances[n].merge(change))

    def report_denial(self, packet, upstream_id):
        owner = sum(packet.key_to_caller()) % INSTANCES
        self.instances[owner].denials.hold(packet, upstream_id)

    def start(self, record):
        vip = VIPS[record.service]
        upstream = FakeUpstream(record, vip, self.rng)
        self.upstreams[record.upstream_id] = upstream
        self.broadcast(record)

    def kill(self, upstream):
        self.dead.add(upstream.record.upstream_id)
        record = upstream.record
        self.broadcast(evolve(record, sequence=10**6, state=UpstreamState.GONE))

    def upstream_at(self, address):
        for upstream in self.upstreams.values():
            record = upstream.record
            if record.upstream_id not in self.dead and record.address == address.ip:
                return upstream
        return None

    def alive_upstreams(self):
        return [u for i, u in self.upstreams.items() if i not in self.dead]

    # Packets.

    def arrive(self, number, raw, source):
        instance = self.instances[number]
        packet = decode(raw)
        decision = instance.router.route(packet, source)
        for send in decision.datagrams:
            if send.destination is None:
                self.check_reply(packet, source, send, decision)
                self.to_caller(send.data)
            elif send.destination.ip.startswith("127.30."):
                assert not source.ip.startswith("127.30.")
                holder = int(send.destination.ip.rpartition(".")[2])
                self.arrive(holder, send.data, instance.address)
            else:
                self.check_service(instance, send)
                self.to_upstream(send)

    def check_reply(self, packet, source, send, decision):
        if decision.verdict in (Verdict.REFUSED, Verdict.SHED):
            assert isinstance(packet, SynPacket)
        if source == FABRIC and not isinstance(packet, SynPacket):
            assert decode(send.data).flags == RST

    def check_service(self, instance, send):
        known = [r for r in instance.services.view if r.address == send.destination.ip]
        newest = max(known, key=lambda r: r.started_at_s)
        assert VIPS[newest.service] == decode(send.data).destination

    def to_upstream(self, send):
        upstream = self.upstream_at(send.destination)
        for answer in upstream.handle(send.data) if upstream else ():
            self.sent_replies.append((answer, send.destination))
            self.arrive(self.rng.randrange(INSTANCES), answer, send.destination)

    def to_caller(self, raw):
        caller = self.callers.get((decode(raw).source, decode(raw).destination))
        if caller and caller.handle(raw):
            assert self.may_be_reset(caller), "reset of an established flow"
            caller.state = "closed"

    def holder(self, caller):
        for upstream in self.upstreams.values():
            held = upstream.connections.get(caller.end)
            is_of_service = upstream.vip == caller.vip and held
            if is_of_service and held.sent_seq == caller.received_seq:
                return upstream
        raise AssertionError("open at no upstream")

    def may_be_reset(self, caller):
        record = self.holder(caller).record
        return record.upstream_id in self.dead or any(
            i.services.is_out_of_service(record) for i in self.instances
        )

    def from_caller(self, raw, number=None):
        number = self.rng.randrange(INSTANCES) if number is None else number
        self.arrive(number, raw, FABRIC)

    def open_callers(self):
        return [c for c in self.callers.values() if c.state == "open"]

    # Steps.

    def step(self, name):
        getattr(self, "do_" + name.replace(" ", "_"))()

    def do_open(self):
        end = builders.caller(self.rng.randrange(4))
        vip = VIPS[self.rng.choice(SERVICES).name]
        caller = self.callers.get((vip, end))
        if caller and caller.state == "open":
            self.from_caller(caller.segment())
            return
        for upstream in self.upstreams.values():
            if upstream.vip == vip:
                upstream.connections.pop(end, None)
        caller = FakeCaller(end, vip, self.rng.randrange(2**31))
        self.callers[vip, end] = caller
        for _ in range(self.rng.randint(1, 2)):
            self.from_caller(caller.syn())

    def do_send(self):
        for caller in self.open_callers():
            raw = caller.segment(b"%d;" % next(self.counter))
            for _ in range(self.rng.randint(1, 3)):
                self.from_caller(raw)

    def do_wait(self):
        self.wait(self.rng.choice([0.5, 2.0, 6.0]))

    def do_close(self):
        for caller in self.open_callers()[:2]:
            self.holder(caller).connections.pop(caller.end)
            caller.state = "closed"

    def do_replay(self):
        if self.sent_replies:
            raw, address = self.rng.choice(self.sent_replies)
            if self.upstream_at(address):
                self.arrive(self.rng.randrange(INSTANCES), raw, address)

    def change_upstream(self, **changes):
        upstream = self.rng.choice(self.alive_upstreams())
        sequence = upstream.record.sequence + 1
        self.broadcast(evolve(upstream.record, sequence=sequence, **changes))

    def do_drain(self):
        self.change_upstream(state=UpstreamState.DRAINING)

    def do_weight(self):
        self.change_upstream(weight=self.rng.choice([20, 100, 300]))

    def do_add(self):
        number = next(self.counter)
        changes = self.kind(number) | {"address": f"127.21.{number // 250}.1"}
        changes["address"] = f"127.21.{number // 250}.{number % 250}"
        self.start(builders.upstream(1000 + number, **changes))

    def do_remove(self):
        if len(self.alive_upstreams()) > 3:
            self.kill(self.rng.choice(self.alive_upstreams()))

    def replace_upstream(self, kind):
        old = self.rng.choice(self.alive_upstreams())
        number = next(self.counter)
        self.dead.add(old.record.upstream_id)
        changes = kind or {
            "service": old.record.service,
            "work_kinds": old.record.work_kinds,
        }
        record = builders.upstream(
            1000 + number,
            address=old.record.address,
            data_centre=old.record.data_centre,
            state=UpstreamState.COLD,
            started_at_s=self.clock.wall_s() + number / 1000,
            **changes,
        )
        self.start(record)

    def do_restart(self):
        self.replace_upstream(None)

    def do_take_over(self):
        self.replace_upstream(self.kind(next(self.counter)))

    def do_restart_instance(self):
        number = self.rng.randrange(INSTANCES)
        peer = self.instances[(number + 1) % INSTANCES]
        fresh = self.instances[number] = Instance(self, number)
        fresh.services.apply(peer.services.configuration)
        self.learn_view(number)
        self.schedule(self.synchronize, number)
        # Records that were in transit to the peer arrive in later exchanges.
        self.schedule(self.schedule, self.synchronize, number)
        self.schedule(self.schedule, self.schedule, self.synchronize, number)

    def learn_view(self, number):
        for record in self.instances[(number + 1) % INSTANCES].services.view:
            self.instances[number].learn(record)

    def synchronize(self, number):
        self.learn_view(number)
        peer = self.instances[(number + 1) % INSTANCES].services
        for record in peer.generation_records() + peer.spillover_mark_records():
            self.instances[number].merge(record)
        self.instances[number].services.is_history_known = True

    def configure(self, in_service):
        centres = (
            DataCentre(name="dc-1"),
            DataCentre(name="dc-2", in_service=in_service),
        )
        revision = self.configuration.revision + 1
        self.configuration = builders.configuration(revision, SERVICES, centres)
        for number in range(INSTANCES):
            self.schedule(self.apply, number, self.configuration)

    def apply(self, number, configuration):
        self.instances[number].services.apply(configuration)

    def do_out_of_service(self):
        self.configure(False)

    def do_in_service(self):
        self.configure(True)

    def check_every_instance_reaches_every_holder(self):
        self.wait(SETTLED_S)
        for caller in self.open_callers():
            if self.may_be_reset(caller):
                continue
            for number in range(INSTANCES):
                raw = caller.segment(b"%d;" % next(self.counter))
                self.from_caller(raw, number)
                assert raw in self.holder(caller).seen, "flow not forwarded"

    def check_nothing_ran_twice(self):
        ran = [payload for u in self.upstreams.values() for payload in u.ran]
        assert len(ran) == len(set(ran))


@settings(derandomize=True, deadline=None, max_examples=200)
@given(
    st.integers(0, 10**6), st.lists(st.sampled_from(STEPS), min_size=20, max_size=90)
)
def test_no_change_breaks_a_flow(seed, steps):
    # Guards against resets of established flows, packets for another service, data
    # that runs at two upstreams and refusals of anything but a SYN.
    world = World(seed)
    for name in steps:
        world.step(name)
    world.check_every_instance_reaches_every_holder()
    world.check_nothing_ran_twice()
