"""Random selection of peers."""

import random

from ...state.instances import InstanceRecord, InstanceView

# Contacts per second that each member receives. If each of 1,500 instances contacted
# a member every second, each of 13 members would receive 115 digests a second, about
# 40 KB/s.
MEMBER_CONTACTS_PER_S = 3


class PeerSelector:
    """Selects random instances other than this one.

    Args:
        name: Name of this instance.
        data_centre: Its data centre.
        instances: View of all instances.
        rng: Source of randomness.
    """

    def __init__(
        self,
        name: str,
        data_centre: str,
        instances: InstanceView,
        rng: random.Random,
    ) -> None:
        self.name = name
        self.data_centre = data_centre
        self.instances = instances
        self.rng = rng
        self._groups: dict[str, list[InstanceRecord]] | None = None
        instances.on_change(self._invalidate_groups)

    def sample_alive(
        self, count: int, *, is_local: bool = False
    ) -> list[InstanceRecord]:
        """Return up to ``count`` distinct random instances that aren't dead."""
        group = self._group("local" if is_local else "alive")
        return self.rng.sample(group, min(count, len(group)))

    def round_peers(self) -> list[InstanceRecord]:
        """Return a random instance of the data centre, one of all and one member.

        In large groups a member is selected in some rounds only, which limits the load
        on the members.
        """
        groups = ["local", "alive"]
        count = 1 + len(self._group("alive"))
        contacts_per_s = MEMBER_CONTACTS_PER_S * len(self._group("members"))
        if self.rng.random() < contacts_per_s / count:
            groups.append("members")
        selected = {
            record.name: record for name in groups for record in self._sample_one(name)
        }
        return list(selected.values())

    def sample_dead(self) -> list[InstanceRecord]:
        """Return a random dead instance, or an empty list if all are alive."""
        return self._sample_one("dead")

    def local_peers(self) -> list[InstanceRecord]:
        """Return every instance of the data centre that isn't dead."""
        return list(self._group("local"))

    def members(self) -> list[InstanceRecord]:
        """Return every member that isn't dead."""
        return list(self._group("members"))

    def _sample_one(self, group: str) -> list[InstanceRecord]:
        records = self._group(group)
        return [self.rng.choice(records)] if records else []

    def _group(self, group: str) -> list[InstanceRecord]:
        if self._groups is None:
            self._groups = self._build_groups()
        return self._groups[group]

    def _build_groups(self) -> dict[str, list[InstanceRecord]]:
        others = [
            record for record in self.instances.records() if record.name != self.name
        ]
        alive = [record for record in others if record.is_alive]
        return {
            "alive": alive,
            "local": [r for r in alive if r.data_centre == self.data_centre],
            "members": [record for record in alive if record.is_member],
            "dead": [record for record in others if not record.is_alive],
        }

    def _invalidate_groups(self, record: InstanceRecord) -> None:
        del record
        self._groups = None
