"""Observations of callers, targets and operators, checked for broken promises."""

import time
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager

from attrs import define, field

# Bounds that the users' rules give for the settings of the soak's deployment.
DRAIN_S = 3.0
EVACUATE_S = 5.0
APPLY_S = 3.0
CONTACT_S = 4.0


@define
class Ledger:
    """Collects events and broken promises; times are of the monotonic clock.

    Attributes:
        breaches: Broken promises, one line each.
        counts: Events by name.
        run_counts: Number of runs of each request.
        refused: Requests that were refused, so that they must never run.
        acknowledged_version: Highest acknowledged version of the configuration.
        last_fault_end_s: End of the latest unplanned fault.
    """

    breaches: list[str] = field(factory=list)
    counts: Counter[str] = field(factory=Counter)
    run_counts: Counter[str] = field(factory=Counter)
    refused: set[str] = field(factory=set)
    acknowledged_version: int = 0
    last_fault_end_s: float = float("-inf")
    _active_faults: int = 0
    _drain_acknowledged_s: dict[str, float] = field(factory=dict)
    _evacuation_acknowledged_s: dict[str, float] = field(factory=dict)

    @property
    def is_fault_free(self) -> bool:
        """Return whether no fault was active during the last contact time.

        Failure detection may take that long after a fault, so promises that depend on
        it are checked only when this is true.
        """
        return (
            not self._active_faults
            and time.monotonic() > self.last_fault_end_s + CONTACT_S
        )

    @contextmanager
    def fault(self, name: str) -> Iterator[None]:
        """Mark an unplanned fault as active while the context is entered."""
        self.counts[f"fault {name}"] += 1
        self._active_faults += 1
        try:
            yield
        finally:
            self._active_faults -= 1
            self.last_fault_end_s = time.monotonic()

    def record_breach(self, promise: str, detail: str) -> None:
        """Record a broken promise."""
        self.breaches.append(f"{promise}: {detail}")

    def record_own_end(self, program: str) -> None:
        """Record that a program ended without being stopped or killed."""
        self.record_breach("own end", f"{program} ended by itself")

    def record_run(self, request: str, is_idempotent: bool) -> None:
        """Record that a target ran a request."""
        self.run_counts[request] += 1
        if not is_idempotent and self.run_counts[request] > 1:
            self.record_breach(
                "at most once", f"{request} ran {self.run_counts[request]} times"
            )
        if request in self.refused:
            self.record_breach("true refusal", f"{request} ran after its refusal")

    def record_refusal(self, request: str) -> None:
        """Record that a caller was told that its request didn't run."""
        self.counts["refused"] += 1
        self.refused.add(request)
        if self.run_counts[request]:
            self.record_breach("true refusal", f"{request} had run")

    def record_answer(self, request: str, answer: bytes, expected: bytes) -> None:
        """Record an answer that a caller received."""
        self.counts["answered"] += 1
        if answer != expected:
            self.record_breach("own answer", f"{request} got {answer[:60]!r}")

    def record_reset(self, request: str, is_target_alive: bool) -> None:
        """Record that the system reset an open flow."""
        self.counts["reset"] += 1
        if is_target_alive and self.is_fault_free:
            self.record_breach("open flow", f"flow of {request} was reset")

    def record_drain(self, target: str) -> None:
        """Record that a target's announcement of draining was acknowledged."""
        self._drain_acknowledged_s.setdefault(target, time.monotonic())

    def record_evacuation(self, data_centre: str) -> None:
        """Record that taking a data centre out of service was acknowledged."""
        self._evacuation_acknowledged_s.setdefault(data_centre, time.monotonic())

    def record_evacuation_end(self, data_centre: str) -> None:
        """Record that a data centre is being brought back into service."""
        self._evacuation_acknowledged_s.pop(data_centre, None)

    def record_new_flow(self, target: str, data_centre: str) -> None:
        """Record that a SYN reached a target."""
        now_s = time.monotonic()
        if not self.is_fault_free:
            return
        if now_s - self._drain_acknowledged_s.get(target, now_s) > DRAIN_S:
            self.record_breach("drain", f"new flow at {target}")
        if now_s - self._evacuation_acknowledged_s.get(data_centre, now_s) > EVACUATE_S:
            self.record_breach(
                "data centre out", f"new flow at {target} in {data_centre}"
            )

    def record_acknowledgement(self, version: int) -> None:
        """Record the acknowledgement of a configuration."""
        self.counts["acknowledged"] += 1
        self.acknowledged_version = max(self.acknowledged_version, version)

    def record_read(self, version: int, min_version: int) -> None:
        """Record a version that was read.

        Args:
            version: The version in the answer.
            min_version: Version that had been acknowledged before the read was sent.
        """
        self.counts["read"] += 1
        if version < min_version:
            self.record_breach(
                "newest read", f"{version} after {min_version} was acknowledged"
            )

    def record_route_check(
        self, version: int, acknowledged_s: float, is_served: bool
    ) -> None:
        """Record whether a new route is served after its acknowledgement.

        Args:
            version: Version of the configuration that added the route.
            acknowledged_s: When it was acknowledged.
            is_served: Whether a request over the route was answered.
        """
        is_late = time.monotonic() - acknowledged_s > APPLY_S
        if is_late and not is_served and self.is_fault_free:
            self.record_breach(
                "in force", f"the route of version {version} isn't served"
            )

    def record_odd_answer(self, path: str, status: int) -> None:
        """Record the status of the answer to odd input, 0 without an answer."""
        self.counts["odd input"] += 1
        if status and not 400 <= status < 500:
            self.record_breach("odd input", f"{path}: {status}")

    def record_recovery(self, served: int, requested: int) -> None:
        """Record how many requests are answered after all faults have ended."""
        if served < 0.9 * requested:
            self.record_breach("recovery", f"{served} of {requested} served")
