"""Load on an upstream during cold start, compared with its cold limit."""

import random
from ipaddress import IPv4Address

from attrs import evolve

from arbutuslift.clock import ManualClock
from arbutuslift.state.admission import AdmissionControl
from arbutuslift.state.flowkey import Endpoint, FlowKey
from arbutuslift.state.upstreams import UpstreamRecord, UpstreamState, UpstreamView

from .cold_faults import (
    COLD_LIMIT,
    GOSSIP_S,
    INSTANCES,
    RUN_S,
    START_S,
    ColdRun,
    Faults,
    peak_in_a_second,
    plan_of,
    upstream_of,
)
from .result import Measure

SEEDS = 20


PEAK_CASES = {
    "no faults": Faults(),
    "deaths and freezes": Faults(deaths_per_s=0.5, freezes_per_s=0.5),
    "revisions": Faults(revisions_per_s=0.05),
    "deaths, freezes and revisions": Faults(
        deaths_per_s=0.5, freezes_per_s=0.5, revisions_per_s=0.05
    ),
    "upstream replaced, news within 1 s": Faults(replacements_per_s=0.1),
    "all of these": Faults(
        deaths_per_s=0.5,
        freezes_per_s=0.5,
        revisions_per_s=0.05,
        replacements_per_s=0.1,
    ),
    "3 instances without revisions": Faults(revisions_per_s=0.05, stale_instances=3),
}


def measure_peaks() -> list[Measure]:
    """Return the peak rate of new flows under each kind of fault."""
    results = []
    for name, faults in PEAK_CASES.items():
        runs = [ColdRun(faults, seed, count=18) for seed in range(SEEDS)]
        for run in runs:
            run.run()
        peak = max(peak_in_a_second(run.admitted_s) for run in runs)
        mean_per_s = sum(len(run.admitted_s) for run in runs) / SEEDS / RUN_S
        results.append(
            Measure(
                name=f"cold peak, {name}",
                figure=peak,
                unit="new flows in any 1 s",
                target=COLD_LIMIT,
                passes=peak <= COLD_LIMIT,
                note=f"18 instances, up to 18 of them in the document, {SEEDS} seeds "
                f"of {RUN_S:.0f} s, overloaded, mean {mean_per_s:.1f} per s",
            )
        )
    return results


class SprayedInstances:
    """Instances that share one view; each SYN arrives at a random alive instance.

    Args:
        count: Number of instances in the document.
        missing: Number of them that are dead.
        upstream: The cold upstream.
        seed: Seed of the random selection.
    """

    def __init__(
        self, count: int, missing: int, upstream: UpstreamRecord, seed: int
    ) -> None:
        self._random = random.Random(seed)
        self._clock = ManualClock(START_S)
        self._view = UpstreamView(self._clock)
        plan = plan_of(count)
        dead = set(self._random.sample(plan.instances, missing))
        self._alive = [name for name in plan.instances if name not in dead]
        self._controls = {
            name: AdmissionControl(self._clock, self._view, name, lambda: self._alive)
            for name in self._alive
        }
        for control in self._controls.values():
            control.apply_plan(plan, is_settled=True)
        self._view.merge(upstream)
        self._upstream = upstream

    def measure_rate_per_s(
        self, offered_per_s: int, run_s: float, relays: bool
    ) -> float:
        """Return the admitted flows per second."""
        admitted = 0
        steps = round(run_s * offered_per_s)
        self._advance(1.0)
        for step in range(steps):
            self._advance(1.0 / offered_per_s)
            admitted += self._offer(step, relays)
        return admitted / run_s

    def _advance(self, duration_s: float) -> None:
        self._clock.jump(duration_s)
        for control in self._controls.values():
            control.tick()

    def _offer(self, number: int, relays: bool) -> bool:
        name = self._random.choice(self._alive)
        if relays:
            caller = Endpoint(IPv4Address("127.0.0.1").packed, number % 65536)
            service = Endpoint(IPv4Address("127.10.0.1").packed, 8443)
            flow = FlowKey(caller, service, 6)
            name = self._controls[name].relay_target(self._upstream, flow) or name
        admitted = self._controls[name].try_admit(self._upstream, "urgent")
        self._controls[name].record_return_traffic(self._upstream.upstream_id)
        return admitted


def measure_missing() -> list[Measure]:
    """Return the share of the limit that is unused because instances are missing."""
    results = []
    for missing in (0, 1, 2, 4):
        rates = [
            SprayedInstances(
                INSTANCES, missing, upstream_of(1 + seed), seed
            ).measure_rate_per_s(offered_per_s=100, run_s=10.0, relays=False)
            for seed in range(SEEDS)
        ]
        unused = 1.0 - sum(rates) / len(rates) / COLD_LIMIT
        results.append(
            Measure(
                name=f"cold limit lost, {missing} of {INSTANCES} instances missing",
                figure=round(100 * unused, 1),
                unit="% of the limit",
                note=f"offered 10 times the limit, mean of {SEEDS} upstreams",
            )
        )
    return results


def measure_relaying() -> list[Measure]:
    """Return the share of the limit in use with and without relaying."""
    results = []
    for count in (9, 18, 36, 1500):
        for relays in (False, True):
            runs = 2 if count == 1500 else SEEDS
            rates = [
                SprayedInstances(
                    count, 0, upstream_of(1 + seed), seed
                ).measure_rate_per_s(
                    offered_per_s=4 * COLD_LIMIT, run_s=20.0, relays=relays
                )
                for seed in range(runs)
            ]
            used = sum(rates) / len(rates) / COLD_LIMIT
            mode = "with" if relays else "without"
            results.append(
                Measure(
                    name=f"cold limit used, n = {count}, {mode} relaying",
                    figure=round(100 * used, 1),
                    unit="% of the limit",
                    note=f"offered 4 times the limit, {runs} upstreams, no retries",
                )
            )
    return results


def peak_after_unannounced_restart(seed: int, offered_per_s: int) -> int:
    """Return the peak rate of new flows after an unannounced restart of an upstream.

    The upstream was ready. Its new process announces itself immediately, and the
    announcement reaches each instance within a second. No instance receives a denial
    before that.
    """
    rng = random.Random(seed)
    clock = ManualClock(START_S)
    previous = upstream_of(1, state=UpstreamState.READY, started_at_s=0.0)
    new = evolve(upstream_of(2), address=previous.address)
    views = [UpstreamView(clock) for _ in range(INSTANCES)]
    controls = []
    for number, view in enumerate(views):
        view.merge(previous)
        controls.append(AdmissionControl(clock, view, f"instance-{number}"))
        controls[-1].apply_plan(plan_of(INSTANCES), is_settled=True)
    learned_at_s = [START_S + 2.0 + rng.uniform(0.0, GOSSIP_S) for _ in views]
    admitted_s = []
    while clock.monotonic_s() < START_S + 6.0:
        clock.jump(1.0 / offered_per_s)
        number = rng.randrange(INSTANCES)
        for view, due_s in zip(views, learned_at_s, strict=True):
            if clock.monotonic_s() >= due_s:
                view.merge(new)
        for control in controls:
            control.tick()
        record = views[number].of_service("alerts")[0]
        is_admitted = controls[number].try_admit(record, "urgent")
        controls[number].record_return_traffic(record.upstream_id)
        if is_admitted and clock.monotonic_s() >= START_S + 2.0:
            admitted_s.append(clock.monotonic_s())
    return peak_in_a_second(admitted_s)


def measure_unannounced_restart() -> list[Measure]:
    """Return the peak rate before instances learn of an unannounced restart."""
    results = []
    for factor in (1, 2, 4):
        offered_per_s = factor * COLD_LIMIT
        peak = max(
            peak_after_unannounced_restart(seed, offered_per_s) for seed in range(SEEDS)
        )
        results.append(
            Measure(
                name=f"cold peak, restart without warning, {offered_per_s} offered/s",
                figure=peak,
                unit="new flows in any 1 s",
                target=COLD_LIMIT,
                passes=peak <= COLD_LIMIT,
                note=f"{INSTANCES} instances, {SEEDS} seeds, news within {GOSSIP_S} s",
            )
        )
    return results


def measure() -> list[Measure]:
    """Return the figures of all cases."""
    return [
        *measure_peaks(),
        *measure_unannounced_restart(),
        *measure_missing(),
        *measure_relaying(),
    ]


if __name__ == "__main__":
    for result in measure():
        print(result)
