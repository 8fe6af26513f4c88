"""Division of an upstream's limit over the instances of the agreed configuration.

The division depends on the upstream's address, not on the identity of its process.
Instances that don't know yet that a process was replaced thus divide the limit of the
machine like those that do.
"""

from collections.abc import Callable
from functools import lru_cache

import numpy as np
from attrs import field, frozen

from ..clock import Clock
from .hashing import hash_64

# Every instance has a new revision in effect within this time.
MAX_PROPAGATION_S = 5.0

TRANSITION_S = 2 * MAX_PROPAGATION_S

# More changes than this within one transition make all shares 0 for a transition,
# which keeps the list bounded and the sum of shares within the limit.
MAX_PREVIOUS_PLANS = 16


@frozen(kw_only=True)
class UpstreamLimits:
    """Limits of each upstream of a service.

    Attributes:
        max_connections: Connections that it bears.
        cold_new_flows_per_s: New flows that it bears in cold start.
        warm_up_s: How long it stays cold.
        slots: Requests that it works on at once.
    """

    max_connections: int = 2000
    cold_new_flows_per_s: int = 10
    warm_up_s: float = 30.0
    slots: int = 2


@frozen
class NamedLimits:
    """Limits of the service with a name."""

    service: str
    limits: UpstreamLimits


@frozen(kw_only=True)
class LimitPlan:
    """What the division of limits needs of one revision of the configuration.

    Attributes:
        instances: Names of the entry instances of all data centres in order.
        services: Limits of every service.
    """

    instances: tuple[str, ...] = ()
    services: tuple[NamedLimits, ...] = ()
    _ordinals: dict[str, int] = field(init=False, eq=False, repr=False)
    _limits: dict[str, UpstreamLimits] = field(init=False, eq=False, repr=False)

    @_ordinals.default
    def _index_instances(self) -> dict[str, int]:
        return {name: number for number, name in enumerate(self.instances)}

    @_limits.default
    def _index_services(self) -> dict[str, UpstreamLimits]:
        return {named.service: named.limits for named in self.services}

    def limits_of(self, service: str) -> UpstreamLimits | None:
        """Return the limits of a service."""
        return self._limits.get(service)

    def ordinal_of(self, instance: str) -> int | None:
        """Return the ordinal of an instance, or None if it isn't listed."""
        return self._ordinals.get(instance)

    def share(self, instance: str, address: str, total: int) -> int:
        """Return an instance's part of ``total`` units of an upstream's limit."""
        ordinal = self.ordinal_of(instance)
        if ordinal is None or total <= 0:
            return 0
        return share_of_ordinal(address, len(self.instances), ordinal, total)

    def instances_with_share(self, address: str, total: int) -> list[str]:
        """Return the instances whose share of ``total`` units isn't 0."""
        count = len(self.instances)
        if total >= count:
            return list(self.instances)
        order = ordinal_order(address, count)
        return [self.instances[ordinal] for ordinal in order[: max(0, total)]]


def share_of_ordinal(address: str, count: int, ordinal: int, total: int) -> int:
    """Return the part of ``total`` that one of ``count`` ordinals gets.

    The parts of all ordinals add up to ``total``.
    """
    base, remainder = divmod(total, count)
    if remainder == 0:
        return base
    return base + (ordinal_rank(address, count, ordinal) < remainder)


def ordinal_order(address: str, count: int) -> list[int]:
    """Return all ordinals in the rendezvous order of an address."""
    return np.argsort(~_scores(address, count), kind="stable").tolist()


@lru_cache(maxsize=65_536)
def ordinal_rank(address: str, count: int, ordinal: int) -> int:
    """Return the position of an ordinal in the rendezvous order."""
    scores = _scores(address, count)
    return int(np.count_nonzero(scores > scores[ordinal]))


def _scores(address: str, count: int) -> np.ndarray:
    """Return one distinct 64-bit number per ordinal with the splitmix64 finalizer."""
    seed = np.uint64(hash_64(b"share", address.encode()))
    ordinals = np.arange(1, count + 1, dtype=np.uint64)
    value = seed + ordinals * np.uint64(0x9E3779B97F4A7C15)
    value = (value ^ (value >> np.uint64(30))) * np.uint64(0xBF58476D1CE4E5B9)
    value = (value ^ (value >> np.uint64(27))) * np.uint64(0x94D049BB133111EB)
    return value ^ (value >> np.uint64(31))


@frozen
class FormerPlan:
    """A plan that other instances may still follow.

    Attributes:
        plan: The plan.
        expires_at_s: Monotonic time from which no instance follows it.
    """

    plan: LimitPlan
    expires_at_s: float


class ShareCalculator:
    """Shares of one instance in the plans that instances may follow now.

    While instances may follow different plans, each uses the smallest of its shares
    in all of them, so that the sum over the instances stays within the limit in any
    mixture. This covers a changed number of instances, changed ordinals and changed
    limits.

    Args:
        clock: Source of time.
        instance: Name of this instance.
    """

    def __init__(self, clock: Clock, instance: str) -> None:
        self._clock = clock
        self._instance = instance
        self._formers: list[FormerPlan] = []
        self._overflow_until_s = 0.0
        self.plan = LimitPlan()

    def apply_plan(self, plan: LimitPlan) -> None:
        """Put a plan in effect."""
        if plan == self.plan:
            return
        expires_at_s = self._clock.monotonic_s() + TRANSITION_S
        if len(self._unexpired_formers()) == MAX_PREVIOUS_PLANS:
            self._overflow_until_s = expires_at_s
        elif self.plan.instances:
            self._formers.append(FormerPlan(self.plan, expires_at_s))
        self.plan = plan

    def limits_of(self, service: str) -> UpstreamLimits | None:
        """Return the limits of a service in the plan in effect."""
        return self.plan.limits_of(service)

    def share(
        self,
        service: str,
        address: str,
        total_of: Callable[[UpstreamLimits], int],
    ) -> int:
        """Return this instance's share of an upstream's limit.

        Args:
            service: Name of the upstream's service.
            address: Address of the upstream.
            total_of: Gives the limit to divide.
        """
        limits = self.plan.limits_of(service)
        if limits is None or self._clock.monotonic_s() < self._overflow_until_s:
            return 0
        share = self.plan.share(self._instance, address, total_of(limits))
        for former in self._unexpired_formers():
            limits = former.plan.limits_of(service)
            if limits is not None:
                total = total_of(limits)
                share = min(share, former.plan.share(self._instance, address, total))
        return share

    def _unexpired_formers(self) -> list[FormerPlan]:
        if self._formers:
            now_s = self._clock.monotonic_s()
            self._formers = [f for f in self._formers if f.expires_at_s > now_s]
        return self._formers
