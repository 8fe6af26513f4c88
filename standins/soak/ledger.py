"""What callers, targets and operators saw, and which promises it breaks."""

import time
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager

from attrs import define, field

# From the settings of the soak's deployment, as the rules of the users state them.
DRAIN_S = 3.0
EVACUATE_S = 5.0
APPLY_S = 3.0
CONTACT_S = 4.0


@define
class Ledger:
    """Collects events and breaches; times are of the steady clock.

    Attributes:
        breaches: Broken promises, each a line.
        counts: Events by name.
        run_count: How often each request ran.
        refused: Requests of which a refusal said that they didn't run.
        acknowledged_version: Highest version that was acknowledged.
        fault_until_s: End of the newest fault that nobody planned.
    """

    breaches: list[str] = field(factory=list)
    counts: Counter[str] = field(factory=Counter)
    run_count: Counter[str] = field(factory=Counter)
    refused: set[str] = field(factory=set)
    acknowledged_version: int = 0
    fault_until_s: float = float("-inf")
    _faults: int = 0
    _drained_s: dict[str, float] = field(factory=dict)
    _emptied_s: dict[str, float] = field(factory=dict)

    @property
    def is_calm(self) -> bool:
        """Return whether everything was in touch for the whole contact time."""
        return not self._faults and time.monotonic() > self.fault_until_s + CONTACT_S

    @contextmanager
    def fault(self, name: str) -> Iterator[None]:
        """Mark the time of a fault that nobody planned."""
        self.counts[f"fault {name}"] += 1
        self._faults += 1
        try:
            yield
        finally:
            self._faults -= 1
            self.fault_until_s = time.monotonic()

    def breach(self, promise: str, detail: str) -> None:
        """Note a broken promise."""
        self.breaches.append(f"{promise}: {detail}")

    def ran(self, request: str, is_idempotent: bool) -> None:
        """Note that a target ran a request."""
        self.run_count[request] += 1
        if not is_idempotent and self.run_count[request] > 1:
            self.breach(
                "at most once", f"{request} ran {self.run_count[request]} times"
            )
        if request in self.refused:
            self.breach("true refusal", f"{request} ran after its refusal")

    def refuse(self, request: str) -> None:
        """Note that a caller was told that its request didn't run."""
        self.counts["refused"] += 1
        self.refused.add(request)
        if self.run_count[request]:
            self.breach("true refusal", f"{request} had run")

    def answered(self, request: str, answer: bytes, expected: bytes) -> None:
        """Note an answer that a caller got."""
        self.counts["answered"] += 1
        if answer != expected:
            self.breach("own answer", f"{request} got {answer[:60]!r}")

    def reset(self, request: str, target_lives: bool) -> None:
        """Note that the system reset an open flow."""
        self.counts["reset"] += 1
        if target_lives and self.is_calm:
            self.breach("open flow", f"flow of {request} was reset")

    def drained(self, target: str) -> None:
        """Note the acknowledgement that a target leaves."""
        self._drained_s.setdefault(target, time.monotonic())

    def emptied(self, data_centre: str) -> None:
        """Note the acknowledgement that a data centre is to get nothing."""
        self._emptied_s.setdefault(data_centre, time.monotonic())

    def taken_back(self, data_centre: str) -> None:
        """Note that a data centre is being taken back."""
        self._emptied_s.pop(data_centre, None)

    def opened(self, target: str, data_centre: str) -> None:
        """Note that a SYN reached a target."""
        now_s = time.monotonic()
        if not self.is_calm:
            return
        if now_s - self._drained_s.get(target, now_s) > DRAIN_S:
            self.breach("drain", f"new flow at {target}")
        if now_s - self._emptied_s.get(data_centre, now_s) > EVACUATE_S:
            self.breach("data centre out", f"new flow at {target} in {data_centre}")

    def acknowledged(self, version: int) -> None:
        """Note the acknowledgement of a configuration."""
        self.counts["acknowledged"] += 1
        self.acknowledged_version = max(self.acknowledged_version, version)

    def read(self, version: int, sent_after: int) -> None:
        """Note a version that was read; ``sent_after`` was acknowledged before."""
        self.counts["read"] += 1
        if version < sent_after:
            self.breach("newest read", f"{version} after {sent_after} was acknowledged")

    def applied(self, version: int, acknowledged_s: float, is_served: bool) -> None:
        """Note whether a new route is served some time after its acknowledgement."""
        late = time.monotonic() - acknowledged_s > APPLY_S
        if late and not is_served and self.is_calm:
            self.breach("in force", f"the route of version {version} isn't served")

    def recovered(self, served: int, asked: int) -> None:
        """Note how much is served some time after the last fault."""
        if served < 0.9 * asked:
            self.breach("recovery", f"{served} of {asked} served")
