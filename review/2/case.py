"""A late report of leaving ends a later boot that has the same identity."""

import asyncio
import time

from reviewkit.case import Case, main
from reviewkit.deployment import BOUNDS, CONTACT_S, ZONES, CaseError
from reviewkit.http import Connection
from reviewkit.link import Link
from reviewkit.operator import config, route, service

HOST, PORT = "127.198.0.1", 8443
SERVICE = "avisos"
ZONE = ZONES[0]
FLOWS = 12
# Length of the partition between the target's machine and one node.
CUT_S = 5.5
DRAIN_S = BOUNDS["drain_ms"] / 1000 + 0.5
REPORT_TIMEOUT_S = 1.0
LINK_NUMBER = 200


class LateLeave(Case):
    """Replaces a target by a boot with its identity, with a late report of leaving."""

    async def steps(self) -> None:
        """Run the case."""
        controls = self.deployment.controls
        cut_off = controls[-1]
        link = Link(
            (self.deployment.ip(4, LINK_NUMBER), self.deployment.control_port),
            (cut_off.ip, self.deployment.control_port),
        )
        await link.open()
        self.stack.callback(link.close)
        linked = link.address
        reached = [self.deployment.address_of(c) for c in controls[:-1]]
        for number, zone in enumerate(ZONES[1:], 2):
            await self.open_target(number, zone, SERVICE)
        former = await self.open_target(1, ZONE, SERVICE, controls=[*reached, linked])
        await self.operator.put(
            config(2, [route(HOST, PORT, SERVICE)], [service(SERVICE)])
        )
        await self.start_serving()
        await asyncio.sleep(3.0)

        # The planned shutdown of a target.
        connection = await Connection.open(linked)
        self.stack.callback(connection.close)
        await former.drain()
        await asyncio.sleep(DRAIN_S)
        if self.has_trouble:
            link.cut()
            self.record.write("link_cut", node=cut_off.ip, for_s=CUT_S)
        cut_s = time.monotonic()
        leave = asyncio.create_task(self._leave(former, connection))
        await asyncio.wait({leave}, timeout=REPORT_TIMEOUT_S)
        if not leave.done():
            former.record_leave(linked, None)
            await former.leave(reached[0])
        former.end()
        await asyncio.sleep(0.5)

        # It starts again under its identity.
        target = await self.open_target(
            1, ZONE, SERVICE, identity=former.identity, controls=[*reached, linked]
        )
        while not target.acknowledged_reports:
            await asyncio.sleep(0.05)
        await asyncio.sleep(0.5)
        flows = await self._open_flows(target)
        await asyncio.sleep(max(0.0, cut_s + CUT_S - time.monotonic()))
        link.heal()
        self.record.write("link_healed", node=cut_off.ip)
        healed_s = time.monotonic()
        await asyncio.sleep(healed_s + CONTACT_S + 0.7 - time.monotonic())
        reports = target.acknowledged_reports
        resets_of_target = target.resets_sent
        for flow in flows:
            answer = await flow.request(b"GET second")
            reset = flow.reset is not None and flow.reset.checksum == 0
            self.record.write(
                "second_request",
                caller_port=flow.port,
                answer=answer,
                reset_by_system=reset,
            )
            if reset and target.resets_sent == resets_of_target:
                self.record.write_breach(
                    "FLOW", f"flow {flow.port} of the living target was reset"
                )
        self.record.write(
            "target_state",
            target=target.identity,
            alive=target.is_alive,
            acknowledged_reports=reports,
            resets_sent=target.resets_sent,
        )

    async def _leave(self, former, connection: Connection) -> None:
        path = f"/Instances.Leave/{former.identity}"
        self.record.write("leave_sent", target=former.identity)
        answer = await connection.call("POST", path, former.body())
        self.record.write("leave_answered", status=answer.status)

    async def _open_flows(self, target) -> list:
        """Return open flows at a target, each after one answered request."""
        caller = await self.open_caller(1, ZONE)
        flows = []
        for _ in range(FLOWS):
            before = len(target.openings)
            flow = caller.new_flow(HOST, PORT)
            is_open = await flow.open()
            answer = await flow.request(b"GET first") if is_open else None
            is_here = len(target.openings) > before
            self.record.write(
                "flow_opened", caller_port=flow.port, answer=answer, at_target=is_here
            )
            if answer is not None and is_here:
                flows.append(flow)
        self.record.write("flows_at_target", count=len(flows))
        if len(flows) < FLOWS // 2:
            raise CaseError("too few flows opened at the target")
        return flows


if __name__ == "__main__":
    main(LateLeave, __file__)
