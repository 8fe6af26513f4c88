"""Services of the configuration in effect, with their slot tables and upstreams."""

from collections.abc import Callable, Iterator

from ...clock import Clock
from ...protocol.document import Configuration, Service
from ...state.generations import GenerationRecord
from ...state.slottable import Generation, SlotTable, WeightedUpstream
from ...state.spillovermarks import SpilloverMark, SpilloverMarks
from ...state.upstreams import UpstreamRecord, UpstreamState, UpstreamView
from .rotation import Rotation
from .routes import ServiceRoutes

# Slots whose candidates are cached, about 5 MB.
MAX_CACHED_SLOTS = 16_384

ChangeCallback = Callable[[GenerationRecord | SpilloverMark], None]


class ServiceTable:
    """Finds services and the upstreams that may hold a flow.

    Args:
        clock: Source of time.
        view: Records of upstreams.

    Attributes:
        is_history_known: Whether this instance has received the generations that other
            instances used. Until then, every alive upstream of a service may hold a
            flow.
        on_change: Callbacks that receive each generation or spillover mark that
            originates on this instance.
    """

    def __init__(self, clock: Clock, view: UpstreamView) -> None:
        self.clock = clock
        self.view = view
        self.configuration = Configuration()
        self.is_history_known = False
        self.on_change: list[ChangeCallback] = []
        self._routes: dict[str, ServiceRoutes] = {}
        self._by_endpoint: dict[bytes, ServiceRoutes] = {}
        self._out_of_service: set[str] = set()
        self._rotation = Rotation(clock)
        self._marks = SpilloverMarks()
        self._holders_by_slot: dict[tuple[str, int], list[str]] = {}

    def apply(self, configuration: Configuration) -> None:
        """Put a configuration in effect if its revision is higher."""
        if configuration.revision <= self.configuration.revision:
            return
        self.configuration = configuration
        document = configuration.document
        self._out_of_service = {
            centre.name for centre in document.data_centres if not centre.in_service
        }
        self._rotation.apply(document.out_of_rotation)
        self._routes = {
            service.name: self._routes_for(service) for service in document.services
        }
        self._by_endpoint = {routes.key: routes for routes in self._routes.values()}
        self.refresh()

    def refresh(self) -> None:
        """Recompute the eligible upstreams of every service."""
        for name in self._routes:
            self.refresh_service(name)

    def refresh_service(self, name: str) -> None:
        """Recompute the eligible upstreams after a change of one service's records."""
        if name in self._routes:
            self._refresh_generation(self._routes[name])

    def expire(self) -> None:
        """Remove generations and marks older than the retention time."""
        now_s = self.clock.wall_s()
        self._holders_by_slot.clear()
        self._marks.expire(now_s)
        for routes in self._routes.values():
            routes.history.expire(now_s)

    def find_by_endpoint(self, key: bytes) -> ServiceRoutes | None:
        """Return the service at an endpoint.

        Args:
            key: Address, port and protocol, as packed in the keys of packets.
        """
        return self._by_endpoint.get(key)

    def may_receive_packets(self, record: UpstreamRecord | None) -> bool:
        """Return whether any packets may go to the upstream."""
        return (
            record is not None
            and record.is_alive
            and record.data_centre not in self._out_of_service
        )

    def may_keep_flows(self, record: UpstreamRecord | None) -> bool:
        """Return whether flows without a connection may stay at the upstream."""
        return self.may_receive_packets(record) and record.accepts_new_flows

    def may_receive_new_flows(self, record: UpstreamRecord | None) -> bool:
        """Return whether new flows may go to the upstream."""
        return self.may_keep_flows(record) and not self._rotation.is_out(
            record.upstream_id
        )

    def is_out_of_service(self, record: UpstreamRecord) -> bool:
        """Return whether the upstream's data centre is out of service."""
        return record.data_centre in self._out_of_service

    def preference_order(
        self, routes: ServiceRoutes, flow: bytes
    ) -> Iterator[UpstreamRecord]:
        """Yield the upstreams for a new flow, preferred first.

        An upstream that became ineligible after the table was built gets a spillover
        mark, since its flows now go to the next upstream in the order.
        """
        for upstream_id in routes.history.current.preference_order(
            routes.slot_of(flow)
        ):
            record = self.view.get(upstream_id)
            if self.may_receive_new_flows(record):
                yield record
            else:
                self.mark_spillover(upstream_id)

    def current_candidates(self, routes: ServiceRoutes, flow: bytes) -> list[str]:
        """Return the identities of the candidates in the current table alone."""
        return list(self._holders(routes.history.current, routes.slot_of(flow)))

    def candidates(
        self, routes: ServiceRoutes, flow: bytes, hint: str | None
    ) -> list[UpstreamRecord]:
        """Return the upstreams that may hold a flow, most likely first.

        The candidates include a process that took over the address of a former
        upstream. It received the flows that were sent there before its announcement
        had reached every instance.
        """
        ids = dict.fromkeys([hint] if hint else ())
        ids.update(dict.fromkeys(self._slot_holders(routes, routes.slot_of(flow))))
        if not self.is_history_known:
            records = self.view.of_service(routes.service.name)
            ids.update(dict.fromkeys(record.upstream_id for record in records))
        records = {}
        for upstream_id in ids:
            record = self.view.get(upstream_id)
            if record is not None and not self.may_receive_packets(record):
                record = self.view.holder_of(record.address)
            if (
                self.may_receive_packets(record)
                and record.service == routes.service.name
            ):
                records[record.upstream_id] = record
        return list(records.values())

    def mark_spillover(self, upstream_id: str) -> None:
        """Mark an upstream whose new flows spill over: it is cold or has no budget."""
        mark = self._marks.mark_upstream(upstream_id, self.clock.wall_s())
        if mark is not None:
            self._holders_by_slot.clear()
            self._notify(mark)

    def spillover_mark_records(self) -> list[SpilloverMark]:
        """Return every spillover mark, to send them to other instances."""
        return self._marks.records()

    def merge_spillover_mark(self, mark: SpilloverMark) -> bool:
        """Merge a spillover mark of another instance.

        Returns:
            Whether it was new.
        """
        self._holders_by_slot.clear()
        return self._marks.merge(mark, self.clock.wall_s())

    def generation_records(self) -> list[GenerationRecord]:
        """Return the generations of every service, to send them to other instances."""
        now_s = self.clock.wall_s()
        return [
            record
            for routes in self._routes.values()
            for record in routes.history.records(now_s)
        ]

    def merge_generation(self, record: GenerationRecord) -> bool:
        """Merge a generation of another instance.

        Returns:
            Whether it was new. False for a service that isn't in the configuration in
            effect here; the next exchange sends its generations again.
        """
        routes = self._routes.get(record.service)
        if routes is None:
            return False
        self._holders_by_slot.clear()
        return routes.history.merge(record, self.clock.wall_s())

    def _slot_holders(self, routes: ServiceRoutes, slot: int) -> list[str]:
        """Return the identities of a slot's candidates in all tables.

        They are cached until a generation or mark changes: with the maximum of 32
        generations, finding them takes longer than the rest of a decision.
        """
        key = (routes.service.name, slot)
        holders = self._holders_by_slot.get(key)
        if holders is not None:
            return holders
        if len(self._holders_by_slot) >= MAX_CACHED_SLOTS:
            self._holders_by_slot.clear()
        ids: dict[str, None] = {}
        for table in routes.history.tables():
            ids.update(dict.fromkeys(self._holders(table, slot)))
        ids.update(dict.fromkeys(routes.history.every_slot_upstreams()))
        holders = self._holders_by_slot[key] = list(ids)
        return holders

    def _holders(self, table: SlotTable, slot: int) -> Iterator[str]:
        """Yield the candidates of a slot in one table.

        These are the primary and, as long as each one has a spillover mark, the next
        one in the preference order.
        """
        primary = table.primary(slot)
        if primary is None:
            return
        if primary not in self._marks:
            yield primary
            return
        for upstream_id in table.preference_order(slot):
            yield upstream_id
            if upstream_id not in self._marks:
                return

    def _refresh_generation(self, routes: ServiceRoutes) -> None:
        records = [
            record
            for record in self.view.of_service(routes.service.name)
            if self._is_eligible(record, routes.service)
        ]
        for record in records:
            if record.state == UpstreamState.COLD or self._rotation.is_out(
                record.upstream_id
            ):
                self.mark_spillover(record.upstream_id)
        generation = Generation.of(
            [WeightedUpstream(record.upstream_id, record.weight) for record in records]
        )
        if generation == routes.history.current.generation:
            return
        now_s = self.clock.wall_s()
        self._holders_by_slot.clear()
        is_new = routes.history.set_current(generation, now_s)
        if is_new and generation.members:
            self._notify(
                GenerationRecord(
                    service=routes.service.name,
                    members=generation.members,
                    last_used_at_s=now_s,
                )
            )

    def _notify(self, change: GenerationRecord | SpilloverMark) -> None:
        for callback in self.on_change:
            callback(change)

    def _routes_for(self, service: Service) -> ServiceRoutes:
        routes = self._routes.get(service.name)
        if routes is None:
            return ServiceRoutes(service)
        routes.service = service
        return routes

    def _is_eligible(self, record: UpstreamRecord, service: Service) -> bool:
        """Return whether an upstream belongs to the slot table of its service.

        An upstream out of rotation does: it stays a candidate for its open flows, also
        at an instance that starts later, and its return changes no table.
        """
        return (
            self.may_keep_flows(record)
            and record.weight > 0
            and service.kind in record.work_kinds
        )
