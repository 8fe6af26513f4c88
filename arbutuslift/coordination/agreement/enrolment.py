"""Enrolment of a control instance with the leader, and discovery of the others."""

import structlog

from ...clock import Clock
from ...errors import MessageError, PeerFailure, TransportError
from ...protocol.channel import Channel
from ...protocol.enrolment import EnrolAnswer, EnrolRequest
from .member import Member

ENROL_INTERVAL_S = 0.5
ENROL_TIMEOUT_S = 0.5
MAX_KNOWN_NAMES = 64

_log = structlog.get_logger()


class Enrolment:
    """Enrols periodically with the leader, or with any instance that may know it.

    Args:
        member: Member of the replicated log on this instance.
        channel: Reaches the other control instances.
        clock: Source of time.
        data_centre: Data centre of this instance.
        seeds: Names of the control instances that are contacted first.
    """

    def __init__(
        self,
        member: Member,
        channel: Channel,
        clock: Clock,
        data_centre: str,
        seeds: tuple[str, ...],
    ) -> None:
        self._member = member
        self._channel = channel
        self._clock = clock
        self._data_centre = data_centre
        self._seeds = seeds
        self._known_names: dict[str, None] = dict.fromkeys(seeds)
        self._leader_hint = ""
        self._is_ending = False

    @property
    def other_control_names(self) -> tuple[str, ...]:
        """Return the names of the other control instances."""
        names = {*self._known_names, *self._seeds, *self._member.control_names}
        return tuple(sorted(names - {self._channel.name}))

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Replace the seeds after a change of the settings."""
        self._seeds = seeds
        self._known_names.update(dict.fromkeys(seeds))

    def end(self) -> None:
        """Stop to enrol, since the instance is about to end."""
        self._is_ending = True

    async def run(self) -> None:
        """Enrol periodically until cancelled; the leader doesn't enrol."""
        attempt = 0
        while not self._is_ending:
            if not self._member.is_leader:
                await self._enrol(attempt)
                attempt += 1
            await self._clock.sleep(ENROL_INTERVAL_S)

    async def _enrol(self, attempt: int) -> None:
        target = self._target(attempt)
        if target is None:
            return
        request = EnrolRequest(
            identity=self._member.identity, data_centre=self._data_centre
        )
        self._leader_hint = ""
        try:
            answer = await self._channel.request(target, request, ENROL_TIMEOUT_S)
        except (TransportError, PeerFailure, MessageError) as error:
            _log.debug("enrolment_failed", peer=target, reason=str(error))
            return
        if isinstance(answer, EnrolAnswer):
            self._leader_hint = answer.leader_name
            self._add_known_names(answer.controls)

    def _target(self, attempt: int) -> str | None:
        """Return whom to ask, None if no other control instance is known.

        A leader that sends nothing may be a former one, and those that are asked may
        know a former one only. So every other attempt without a leader asks the next
        instance, and each instance is asked in time.
        """
        if self._member.hears_leader:
            return self._member.leader_name
        hint = self._leader_hint
        if hint and hint != self._channel.name and attempt % 2:
            return hint
        names = self.other_control_names
        return names[attempt // 2 % len(names)] if names else None

    def _add_known_names(self, names: tuple[str, ...]) -> None:
        for name in names:
            self._known_names.pop(name, None)
            self._known_names[name] = None
        while len(self._known_names) > MAX_KNOWN_NAMES:
            del self._known_names[next(iter(self._known_names))]
