"""Entry side of load reports: sends them and passes on the answers."""

import random
from collections.abc import Callable

import structlog
from attrs import define

from ...clock import Clock
from ...errors import ArbutusliftError, MessageError
from ...protocol.channel import Channel
from ...protocol.loads import (
    CompressedLoad,
    LoadReport,
    LoadSummary,
    check_summary,
    compress,
    expand,
)
from ...state.hashing import rendezvous_order

REPORT_INTERVAL_S = 1.0
ANSWER_TIMEOUT_S = 0.5
# Attempts after which the report is dropped; the next interval begins then.
MAX_ATTEMPTS = 2
# A control instance that doesn't answer is skipped, at first for one report only, so
# that the instances of a data centre soon report to the same one again.
INITIAL_SKIP_S = 1.0
MAX_SKIP_S = 16.0

_log = structlog.get_logger()

# Returns a report with a given sequence number.
MakeReport = Callable[[int], LoadReport]
SummaryCallback = Callable[[LoadReport, LoadSummary], None]


@define
class _Skip:
    """Time for which a control instance that didn't answer is skipped.

    Attributes:
        duration_s: Duration of the next skip.
        until_s: End of the current skip.
    """

    duration_s: float = INITIAL_SKIP_S
    until_s: float = 0.0


class LoadClient:
    """Sends a load report every second to one control instance.

    All instances of a data centre prefer the same one, so that it can add them up.

    Args:
        channel: Connection to the control instances.
        clock: Source of time.
        data_centre: Data centre of this instance.
        controls: Names of the control instances that are known at first.
        make_report: Returns the report of the interval that ends now.
        on_summary: Called with each report and its answer.
        rng: Draws the delay of the first report.

    Attributes:
        reporting_to: Name of the control instance that answered last, empty if the last
            report got no answer.
        answered: Number of reports with an answer.
        unanswered: Number of reports without one.
    """

    def __init__(
        self,
        channel: Channel,
        clock: Clock,
        data_centre: str,
        controls: tuple[str, ...],
        make_report: MakeReport,
        on_summary: SummaryCallback,
        rng: random.Random,
    ) -> None:
        self.reporting_to = ""
        self.answered = 0
        self.unanswered = 0
        self._channel = channel
        self._clock = clock
        self._data_centre = data_centre
        self._make_report = make_report
        self._on_summary = on_summary
        self._rng = rng
        # Increases by a report a second, so that it stays below the first one of a
        # later process, unless the wall clock is set back.
        self._sequence = int(1000 * clock.wall_s())
        self._skips: dict[str, _Skip] = {}
        self._controls: list[str] = []
        self.set_controls(controls)

    def set_controls(self, names: tuple[str, ...]) -> None:
        """Use the names of the control instances in an answer of one of them."""
        if names and sorted(names) != sorted(self._controls):
            key = self._data_centre.encode()
            self._controls = rendezvous_order(key, list(names))
            self._skips = {n: s for n, s in self._skips.items() if n in names}

    async def run(self) -> None:
        """Send reports until cancelled."""
        due_s = self._clock.monotonic_s() + REPORT_INTERVAL_S * self._rng.random()
        while True:
            now_s = self._clock.monotonic_s()
            await self._clock.sleep(due_s - now_s)
            # Reports that a suspended process missed aren't made up for.
            due_s = max(due_s, self._clock.monotonic_s()) + REPORT_INTERVAL_S
            await self._report()

    async def _report(self) -> None:
        self._sequence += 1
        report = self._make_report(self._sequence)
        for name in self._next_controls():
            try:
                summary = await self._request(name, report)
            except ArbutusliftError as error:
                self._skip(name)
                _log.info("load_report_failed", peer=name, reason=str(error))
                continue
            self._skips.pop(name, None)
            self.answered += 1
            self._set_reporting_to(name, summary.instances)
            self._on_summary(report, summary)
            return
        self.unanswered += 1
        self._set_reporting_to("", 0)

    async def _request(self, name: str, report: LoadReport) -> LoadSummary:
        answer = await self._channel.request(name, compress(report), ANSWER_TIMEOUT_S)
        summary = expand(answer) if isinstance(answer, CompressedLoad) else answer
        if not isinstance(summary, LoadSummary):
            raise MessageError(
                "answer is not a LoadSummary", step="report load", peer=name
            )
        check_summary(summary)
        return summary

    def _next_controls(self) -> list[str]:
        """Return the control instances to try, in order."""
        now_s = self._clock.monotonic_s()
        due = [
            name
            for name in self._controls
            if name not in self._skips or self._skips[name].until_s <= now_s
        ]
        return due[:MAX_ATTEMPTS]

    def _skip(self, name: str) -> None:
        skip = self._skips.setdefault(name, _Skip())
        skip.until_s = self._clock.monotonic_s() + skip.duration_s
        skip.duration_s = min(2 * skip.duration_s, MAX_SKIP_S)

    def _set_reporting_to(self, name: str, instances: int) -> None:
        if name != self.reporting_to:
            self.reporting_to = name
            event = "load_reported" if name else "load_not_reported"
            _log.info(event, peer=name, instances=instances)
