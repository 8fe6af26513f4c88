"""Division of limits among the instances of the agreed configuration.

The division of an upstream's limit depends on its address, not on the identity of its
process. Instances that haven't learned yet that a process was replaced thus divide the
limit of the address in the same way as those that have.
"""

from collections.abc import Callable, Iterable
from functools import lru_cache

import numpy as np
from attrs import field, frozen

from ..clock import Clock
from .flowkey import FlowKey
from .hashing import hash_64, rendezvous_order

# Every instance puts a new revision in effect within this time.
MAX_PROPAGATION_S = 5.0

TRANSITION_S = 2 * MAX_PROPAGATION_S

# If the plan changes more often than this within one transition, all shares are 0 for
# a transition. This bounds the list and keeps the sum of shares within the limit.
MAX_PREVIOUS_PLANS = 16


@frozen(kw_only=True)
class UpstreamLimits:
    """Limits of each upstream of a service.

    Attributes:
        max_connections: Maximum number of connections.
        cold_new_flows_per_s: Maximum rate of new flows during a cold start.
        warm_up_s: Duration of a cold start.
        slots: Number of requests that it processes concurrently.
    """

    max_connections: int = 2000
    cold_new_flows_per_s: int = 10
    warm_up_s: float = 30.0
    slots: int = 2


@frozen(kw_only=True)
class LoadLimits:
    """Limits of a whole service, 0 without a limit.

    Attributes:
        max_new_flows_per_s: Maximum rate of new flows.
        max_open_requests: Maximum number of requests at all upstreams.
        min_share_percent: Guaranteed part of the new flows while load is shed.
    """

    max_new_flows_per_s: int = 0
    max_open_requests: int = 0
    min_share_percent: int = 0


Limits = UpstreamLimits | LoadLimits


@frozen
class NamedLimits:
    """Limits of the named service or of its upstreams."""

    service: str
    limits: Limits


@frozen(kw_only=True)
class LimitPlan:
    """Instances and limits in one revision of the configuration.

    Attributes:
        instances: Names of the entry instances of all data centres, in document order.
        services: Limits for each service.
    """

    instances: tuple[str, ...] = ()
    services: tuple[NamedLimits, ...] = ()
    _ordinals: dict[str, int] = field(init=False, eq=False, repr=False)
    _limits: dict[str, Limits] = field(init=False, eq=False, repr=False)

    @_ordinals.default
    def _index_instances(self) -> dict[str, int]:
        return {name: number for number, name in enumerate(self.instances)}

    @_limits.default
    def _index_services(self) -> dict[str, Limits]:
        return {named.service: named.limits for named in self.services}

    def limits_of(self, service: str) -> Limits | None:
        """Return the limits of a service."""
        return self._limits.get(service)

    def ordinal_of(self, instance: str) -> int | None:
        """Return the position of an instance, or None if it isn't listed."""
        return self._ordinals.get(instance)

    def share(self, instance: str, key: str, total: int) -> int:
        """Return an instance's share of ``total`` units.

        Args:
            instance: Name of the instance.
            key: What the limit is for: the address of an upstream, or a service.
            total: Units of the limit.
        """
        ordinal = self.ordinal_of(instance)
        if ordinal is None or total <= 0:
            return 0
        return share_of_ordinal(key, len(self.instances), ordinal, total)

    def instances_with_share(self, key: str, total: int) -> list[str]:
        """Return the instances whose share of ``total`` units isn't 0."""
        count = len(self.instances)
        if total >= count:
            return list(self.instances)
        order = ordinal_order(key, count)
        return [self.instances[ordinal] for ordinal in order[: max(0, total)]]


def share_of_ordinal(key: str, count: int, ordinal: int, total: int) -> int:
    """Return the share of ``total`` that one of ``count`` ordinals gets.

    The shares of all ordinals add up to ``total``.
    """
    base, remainder = divmod(total, count)
    if remainder == 0:
        return base
    return base + (ordinal_rank(key, count, ordinal) < remainder)


def ordinal_order(key: str, count: int) -> list[int]:
    """Return all ordinals in the rendezvous order of a key."""
    return np.argsort(~_scores(key, count), kind="stable").tolist()


@lru_cache(maxsize=65_536)
def ordinal_rank(key: str, count: int, ordinal: int) -> int:
    """Return the position of an ordinal in the rendezvous order of a key."""
    scores = _scores(key, count)
    return int(np.count_nonzero(scores > scores[ordinal]))


def _scores(key: str, count: int) -> np.ndarray:
    """Return a distinct 64-bit score per ordinal, by the splitmix64 finalizer."""
    seed = np.uint64(hash_64(b"share", key.encode()))
    ordinals = np.arange(1, count + 1, dtype=np.uint64)
    value = seed + ordinals * np.uint64(0x9E3779B97F4A7C15)
    value = (value ^ (value >> np.uint64(30))) * np.uint64(0xBF58476D1CE4E5B9)
    value = (value ^ (value >> np.uint64(27))) * np.uint64(0x94D049BB133111EB)
    return value ^ (value >> np.uint64(31))


@frozen
class PreviousPlan:
    """A superseded plan that other instances may still have in effect.

    Attributes:
        plan: The plan.
        expires_at_s: Monotonic time from which no instance has it in effect.
    """

    plan: LimitPlan
    expires_at_s: float


class ShareCalculator:
    """Shares of one instance in all plans that may be in effect on some instance.

    While instances may have different plans in effect, each uses the smallest of its
    shares in these plans. The sum over the instances thus stays within the limit in
    any mixture of plans, whether the number of instances, their ordinals or the limits
    changed.

    Args:
        clock: Source of time.
        instance: Name of this instance.
    """

    def __init__(self, clock: Clock, instance: str) -> None:
        self._clock = clock
        self._instance = instance
        self._previous_plans: list[PreviousPlan] = []
        self._overflow_until_s = 0.0
        self.plan = LimitPlan()

    def apply_plan(self, plan: LimitPlan) -> None:
        """Put a plan in effect."""
        if plan == self.plan:
            return
        expires_at_s = self._clock.monotonic_s() + TRANSITION_S
        if len(self._unexpired_previous_plans()) == MAX_PREVIOUS_PLANS:
            self._overflow_until_s = expires_at_s
        elif self.plan.instances:
            self._previous_plans.append(PreviousPlan(self.plan, expires_at_s))
        self.plan = plan

    def limits_of(self, service: str) -> Limits | None:
        """Return the limits of a service in the plan in effect."""
        return self.plan.limits_of(service)

    def share(
        self,
        service: str,
        key: str,
        total_of: Callable[[Limits], int],
    ) -> int:
        """Return this instance's share of a limit.

        Args:
            service: Service with the limit.
            key: What the limit is for; see :meth:`LimitPlan.share`.
            total_of: Selects the limit to divide.
        """
        limits = self.plan.limits_of(service)
        if limits is None or self._clock.monotonic_s() < self._overflow_until_s:
            return 0
        share = self.plan.share(self._instance, key, total_of(limits))
        for previous in self._unexpired_previous_plans():
            limits = previous.plan.limits_of(service)
            if limits is not None:
                total = total_of(limits)
                share = min(share, previous.plan.share(self._instance, key, total))
        return share

    def first_sharing(
        self, key: str, total: int, flow: FlowKey, alive: Iterable[str]
    ) -> str | None:
        """Return another alive instance with a share, None if there is none.

        It is the first one in the rendezvous order of the flow key, so that every copy
        of a SYN goes to the same instance.

        Args:
            key: What the limit is for; see :meth:`LimitPlan.share`.
            total: Units of the limit.
            flow: Key of the flow.
            alive: Names of the instances that are alive.
        """
        others = set(alive) - {self._instance}
        sharing = self.plan.instances_with_share(key, total)
        candidates = [name for name in sharing if name in others]
        order = rendezvous_order(flow.to_bytes(), candidates)
        return order[0] if order else None

    def _unexpired_previous_plans(self) -> list[PreviousPlan]:
        if self._previous_plans:
            now_s = self._clock.monotonic_s()
            self._previous_plans = [
                plan for plan in self._previous_plans if plan.expires_at_s > now_s
            ]
        return self._previous_plans
