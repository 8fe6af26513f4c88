"""One instance: builds its components, connects them and runs their tasks."""

import random
import time
from collections.abc import Callable
from contextlib import AsyncExitStack

from . import logs
from .clock import Clock
from .coordination.concurrency import TaskSet
from .coordination.controlplane import ControlPlane
from .coordination.dissemination.instancedirectory import InstanceDirectory
from .coordination.dissemination.registrar import Registrar
from .coordination.dissemination.upstreamtimeout import UpstreamTimeoutDetector
from .coordination.routing.denials import DenialBuffer
from .coordination.routing.flowadmission import FlowAdmission
from .coordination.routing.forwarding import Forwarder
from .coordination.routing.limitedadmission import LimitedAdmission, ReportedUsage
from .coordination.routing.limits import limit_plan_of, load_limit_plan_of
from .coordination.routing.routes import ServiceRoutes
from .coordination.routing.servicelimits import ServiceLimiter
from .coordination.routing.services import ServiceTable
from .coordination.routing.slotadmission import SlotAdmission
from .coordination.routing.slotrouter import SlotRouter
from .coordination.routing.tracedforwarding import TracedForwarder
from .errors import TaskFailed
from .metrics import MetricsReporter, open_metrics
from .protocol.document import Configuration, load_document
from .settings import Settings
from .state.admission import AdmissionControl
from .state.flows import FlowCache
from .state.instances import InstanceRecord, InstanceView
from .state.upstreams import UpstreamView
from .tracer import NoOpTracer, Tracer
from .tracerfactory import open_tracer
from .transport.announcements import AnnouncementEndpoint, Refusal
from .transport.fabric import UdpFabric
from .transport.keys import AllowedKeys, load_key_pair
from .transport.zmqbus import Security, ZmqBus

INITIAL_REVISION = 1
EXPIRE_INTERVAL_S = 60.0
QUEUE_POLL_INTERVAL_S = 0.1

_log = logs.get_logger()


class Instance:
    """An entry instance, and a control member if the settings say so.

    Args:
        settings: Checked settings.
        clock: Source of time.
        stack: Owns everything that has to be closed.
        on_stop: Called when the process has to stop: a newer process uses the same
            name, or a task failed.

    Attributes:
        failure: Why a task failed, if one did.
        fabric: Socket for packets; None until it is open.
        endpoint: Receives announcements and answers health checks.
        registrar: Adds announced upstreams to the view.
    """

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        stack: AsyncExitStack,
        on_stop: Callable[[], None],
    ) -> None:
        self.failure: TaskFailed | None = None
        self._settings = settings
        self._clock = clock
        self._stack = stack
        self._on_stop = on_stop
        self._is_stopping = False
        self._tasks = TaskSet(self._fail)
        stack.callback(self._tasks.cancel)
        self._tracer: Tracer = NoOpTracer()
        self._view = UpstreamView(clock)
        self._services = ServiceTable(clock, self._view)
        self.registrar = Registrar(self._services, clock)
        self._control: ControlPlane | None = None
        self._directory = InstanceDirectory(settings.name, InstanceView())
        self.fabric: UdpFabric | None = None
        self.endpoint = AnnouncementEndpoint(
            self.registrar.accept,
            key=self._announcement_key(),
            on_refusal=_log_refusal,
        )
        self.endpoint.is_serving = False
        self._admission = AdmissionControl(
            clock, self._view, settings.name, self._alive_instances
        )
        self._limiter = ServiceLimiter(
            clock,
            settings.name,
            ReportedUsage(clock, self._view),
            self._alive_instances,
        )

    async def open(self) -> None:
        """Open sockets and files and start all tasks.

        Raises:
            ArbutusliftError: A port can't be bound or a file can't be opened.
        """
        settings = self._settings
        self._tracer = open_tracer(
            settings.trace, settings.trace_file, settings.trace_ratio, settings.name
        )
        self._stack.callback(self._tracer.close)
        self.fabric = await UdpFabric.open(settings.listen)
        self._stack.callback(self.fabric.close)
        if settings.bus is not None:
            await self._open_control()
        forwarder = self._make_forwarder()
        self._stack.push_async_callback(self.endpoint.close)
        await self.endpoint.open(settings.announcements)
        timeout_detector = UpstreamTimeoutDetector(
            self._view, self.registrar, self._clock, settings.data_centre
        )
        self._tasks.spawn_loop(forwarder.run, self._clock)
        self._tasks.spawn_loop(self._admission.run, self._clock)
        self._tasks.spawn_loop(self._limiter.run, self._clock)
        self._tasks.spawn_loop(timeout_detector.run, self._clock)
        self._tasks.spawn_loop(self._expire, self._clock)
        self._tasks.spawn_contained(self._report_metrics(forwarder))
        self._start_configuration()
        _log.info("started", listen=settings.listen.port)

    async def stop(self) -> None:
        """Fail health checks, forward packets for the drain time, then return."""
        self._is_stopping = True
        self.endpoint.is_serving = False
        _log.info("draining", drain_s=self._settings.drain_s)
        if self._control is not None:
            self._control.leave()
        await self._clock.sleep(self._settings.drain_s)
        while self.fabric.queue_fill() > 0:
            await self._clock.sleep(QUEUE_POLL_INTERVAL_S)

    def apply(self, configuration: Configuration) -> None:
        """Put a configuration in effect."""
        self._services.apply(configuration)
        self._admission.apply_plan(limit_plan_of(configuration.document))
        self._limiter.apply_plan(load_limit_plan_of(configuration.document))
        self.endpoint.is_serving = not self._is_stopping
        _log.info("configuration_in_effect", revision=configuration.revision)

    def _start_configuration(self) -> None:
        if self._control is not None:
            self._control.on_configuration(self.apply)
            self._tasks.spawn(self._control.run())
        elif self._settings.document is not None:
            document = load_document(self._settings.document)
            self._services.is_history_known = True
            self.apply(Configuration(revision=INITIAL_REVISION, document=document))

    async def _open_control(self) -> None:
        settings = self._settings
        bus = ZmqBus(
            settings.name, self._security(), allow_plain=settings.curve == "off"
        )
        self._stack.push_async_callback(bus.close)
        await bus.open(f"tcp://{settings.bus.ip}:{settings.bus.port}")
        own_record = InstanceRecord(
            name=settings.name,
            incarnation=time.time_ns(),
            data_centre=settings.data_centre,
            endpoint=bus.endpoint,
            fabric_address=f"{settings.listen.ip}:{settings.listen.port}",
            is_member=settings.is_member,
        )
        self._control = ControlPlane(
            settings,
            self._clock,
            bus,
            own_record,
            self._services,
            on_superseded=self._on_stop,
            rng=random.Random(),
            tracer=self._tracer,
        )
        self._stack.push_async_callback(self._control.close)
        self._directory = self._control.directory

    def _security(self) -> Security | None:
        settings = self._settings
        if not settings.uses_curve:
            return None
        return Security(
            keys=load_key_pair(settings.curve_key_file),
            allowed=AllowedKeys(settings.authorized_keys_folder),
        )

    def _make_forwarder(self) -> Forwarder:
        settings = self._settings
        flows = FlowCache(settings.max_flows)
        fabric = self.fabric
        control = self._control
        denials = DenialBuffer(
            self._services,
            flows,
            lambda data: fabric.send(data, settings.fabric),
            alive_instances=self._alive_instances,
            channel=control.channel if control else None,
        )
        self._stack.callback(denials.close)
        self._tasks.spawn_loop(denials.run, self._clock)
        router = SlotRouter(
            self._services,
            flows,
            admission=LimitedAdmission(self._admission, self._limiter),
            denials=denials,
            instance_address=self._directory.address_of,
            is_instance=self._directory.is_instance,
            queue_fill=fabric.queue_fill,
            may_open=self._flow_admission(flows),
        )
        if self._tracer.is_enabled:
            return TracedForwarder(fabric, router, settings.fabric, self._tracer)
        return Forwarder(fabric, router, settings.fabric)

    def _flow_admission(
        self, flows: FlowCache
    ) -> Callable[[bytes, ServiceRoutes], bool]:
        """Return what decides whether capacity allows a new flow."""
        settings = self._settings
        if not settings.admission_aim_ms:
            return lambda flow, routes: True
        return SlotAdmission(
            self._services,
            flows,
            FlowAdmission(self._clock),
            settings.admission_aim_ms / 1000,
            lambda: len({*self._alive_instances(), settings.name}),
            settings.upstream_queue_length or None,
        ).may_open

    async def _report_metrics(self, forwarder: Forwarder) -> None:
        metrics = open_metrics(self._settings.statsd, self._settings.name)
        self._stack.callback(metrics.close)
        reporter = MetricsReporter(metrics, self._clock)
        reporter.add_counter("packets", forwarder.counts)
        reporter.add_counter("announcements", self.endpoint.counts)
        reporter.add_counter("upstreams", self.registrar.counts)
        await reporter.run()

    async def _expire(self) -> None:
        while True:
            await self._clock.sleep(EXPIRE_INTERVAL_S)
            self._services.expire()

    def _alive_instances(self) -> list[str]:
        return self._directory.alive_names

    def _announcement_key(self) -> bytes | None:
        path = self._settings.announcement_key_file
        return path.read_bytes().strip() if path else None

    def _fail(self, error: Exception) -> None:
        """Stop the process if the control plane failed; nothing else would say so."""
        self.failure = TaskFailed(repr(error), step="run instance")
        _log.error("task_failed", reason=str(self.failure), exc_info=error)
        self._on_stop()


def _log_refusal(refusal: Refusal) -> None:
    _log.warning("announcement_refused", peer=refusal.peer, reason=refusal.reason)
