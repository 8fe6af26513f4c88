"""Runs the member of a control instance, and a new one after each storage error.

A disk that is full, read-only or failing takes the member out, never the process: the
instance goes on with announcements and the feed. The member returns once the disk takes
writes again.
"""

import asyncio
import random
from collections.abc import Callable
from contextlib import AsyncExitStack

import structlog

from .clock import Clock
from .coordination.agreement.agreementtiming import AgreementTiming
from .coordination.agreement.enrolment import Enrolment
from .coordination.agreement.member import Member
from .coordination.agreement.membershipmanager import MembershipPolicy
from .coordination.agreement.memberstate import CommitCallback
from .coordination.agreement.orderprocessor import OrderProcessor
from .coordination.concurrency import TaskSet
from .errors import StorageError
from .protocol.channel import Channel
from .rolesettings import ControlSettings
from .state.configuration import StoredRevision
from .state.files import check_writable
from .state.formation import DiskFormationIntent, record_first_start
from .state.storage import MemberStorage

# Round trips between control instances take a few ms. A change must take effect within
# seconds of the loss of a leader.
TIMING = AgreementTiming(
    heartbeat_interval_s=0.2,
    election_timeout_s=0.8,
    first_election_timeout_s=0.03,
    first_election_spread=4.0,
    request_timeout_s=0.6,
    submit_timeout_s=3.5,
    catch_up_timeout_s=10.0,
    retry_interval_s=0.05,
)
REOPEN_DELAY_S = 0.5
FAULT_CHECK_INTERVAL_S = 0.2

_log = structlog.get_logger()


class MemberSupervisor:
    """Opens a member on the data folder and replaces it after a storage error.

    Args:
        settings: Checked settings.
        channel: Reaches the other members.
        clock: Source of time.
        on_commit: Called with each committed revision; see ``Member.on_commit``.
        on_failure: Called with an error that a new member wouldn't mend.

    Attributes:
        member: The running member; None while the disk is unusable.
    """

    def __init__(
        self,
        settings: ControlSettings,
        channel: Channel,
        clock: Clock,
        on_commit: CommitCallback,
        on_failure: Callable[[Exception], None],
    ) -> None:
        self.member: Member | None = None
        self._settings = settings
        self._channel = channel
        self._clock = clock
        self._on_commit = on_commit
        self._on_failure = on_failure
        self._seeds = settings.seeds
        self._other_control_names: tuple[str, ...] = settings.seeds
        self._enrolment: Enrolment | None = None
        self._order_processor: OrderProcessor | None = None
        self._task_error: StorageError | None = None

    @property
    def other_control_names(self) -> tuple[str, ...]:
        """Return the names of the other control instances."""
        if self._enrolment is not None:
            self._other_control_names = self._enrolment.other_control_names
        return self._other_control_names

    @property
    def order_processor(self) -> OrderProcessor:
        """Return the processor of orders.

        Raises:
            StorageError: The disk is unusable at the moment.
        """
        if self._order_processor is None:
            raise StorageError("the data folder is closed", step="reach agreement")
        return self._order_processor

    def history(self) -> list[StoredRevision]:
        """Return the revisions that the running member holds, newest first."""
        return self.member.revisions() if self.member is not None else []

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Use the seeds of changed settings."""
        self._seeds = seeds
        if self._enrolment is not None:
            self._enrolment.set_seeds(seeds)

    async def leave(self) -> None:
        """Hand over the leadership and the vote of the member, if one runs."""
        # Imported here, since no start needs it.
        from .coordination.agreement.votehandover import VoteHandover

        if self.member is None:
            return
        self._enrolment.end()
        await VoteHandover(self.member, self._channel, self._clock).run()

    async def run(self) -> None:
        """Run members until cancelled."""
        while True:
            try:
                async with AsyncExitStack() as stack:
                    member = self._open_member(stack)
                    reason = await self._wait_for_fault(member)
                    _log.error("member_reopens", reason=reason)
            except StorageError as error:
                _log.error("data_folder_unusable", reason=str(error))
            self._order_processor = self.member = None
            await self._wait_until_writable()

    def _open_member(self, stack: AsyncExitStack) -> Member:
        settings = self._settings
        storage = MemberStorage.open(settings.data_folder)
        stack.callback(storage.close)
        if settings.is_bootstrap:
            record_first_start(settings.data_folder, settings.name, settings.seeds)
        member = Member(
            name=settings.name,
            storage=storage,
            channel=self._channel,
            clock=self._clock,
            rng=random.Random(),
            intent=DiskFormationIntent(settings.data_folder, settings.seeds),
            timing=TIMING,
            data_centre=settings.data_centre,
            membership_policy=MembershipPolicy(voter_count=settings.voter_count),
        )
        stack.push_async_callback(member.close)
        member.on_commit(self._on_commit)
        member.start()
        self.member = member
        self._enrolment = Enrolment(
            member, self._channel, self._clock, settings.data_centre, self._seeds
        )
        self._order_processor = OrderProcessor(member, self._clock)
        self._task_error = None
        tasks = TaskSet(self._on_task_failure)
        stack.push_async_callback(tasks.close)
        tasks.spawn(self._enrolment.run())
        tasks.spawn(self._order_processor.run())
        return member

    def _on_task_failure(self, error: Exception) -> None:
        if isinstance(error, StorageError):
            self._task_error = error
        else:
            self._on_failure(error)

    async def _wait_for_fault(self, member: Member) -> str:
        while member.failure is None and self._task_error is None:
            await self._clock.sleep(FAULT_CHECK_INTERVAL_S)
        return member.failure or str(self._task_error)

    async def _wait_until_writable(self) -> None:
        """Wait until the disk takes writes, and say once that it doesn't.

        A member on a full disk would stop at its first entry, time and again, and
        fail a request of the leader each time.
        """
        is_reported = False
        while True:
            await self._clock.sleep(REOPEN_DELAY_S)
            try:
                # A stalled disk must not block announcements and the feed.
                await asyncio.to_thread(check_writable, self._settings.data_folder)
                return
            except StorageError as error:
                if not is_reported:
                    _log.warning("member_waits_for_disk", reason=str(error))
                is_reported = True
