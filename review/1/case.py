"""A frozen node carries out an order that the operator has long since replaced."""

import asyncio
import signal
import time

from reviewkit.case import Case, main
from reviewkit.deployment import BOUNDS, CONTACT_S, ZONES, CaseError
from reviewkit.operator import config, route, service
from reviewkit.target import Target
from reviewkit.wire import Packet

HOST, PORT = "127.198.0.1", 8443
SERVICE = "avisos"
ZONE = ZONES[1]
FREEZE_S = 4.0
EVACUATE_S = BOUNDS["evacuate_ms"] / 1000
OBSERVED_S = 4.0
FLOW_INTERVAL_S = 0.1


class LateOrder(Case):
    """Evacuates a zone, takes it back and evacuates it again, with a frozen node."""

    async def steps(self) -> None:
        """Run the case."""
        self._judged_from_s = float("inf")
        for number in range(6):
            await self.open_target(
                number + 1,
                ZONES[number % len(ZONES)],
                SERVICE,
                on_opening=self._on_opening,
            )
        await self.operator.put(
            config(2, [route(HOST, PORT, SERVICE)], [service(SERVICE)])
        )
        await self.start_serving()
        await asyncio.sleep(2.0)
        caller = await self.open_caller(1, ZONE)
        await self.operator.order(f"/Evacuations.Begin/{ZONE}")
        await asyncio.sleep(2.0)

        # The node of the evacuated zone freezes; the operator calls it first.
        frozen = next(c for c in self.deployment.controls if c.zone == ZONE)
        if self.has_trouble:
            frozen.signal(signal.SIGSTOP)
            self.record.write("node_frozen", node=frozen.ip, for_s=FREEZE_S)
        frozen_s = time.monotonic()
        address = self.deployment.address_of(frozen)
        await self.operator.order(f"/Evacuations.Finish/{ZONE}", first=address)
        await asyncio.sleep(0.3)
        other = self.deployment.control_addresses[0]
        begun_s = await self.operator.order(f"/Evacuations.Begin/{ZONE}", first=other)
        thawed_s = frozen_s + FREEZE_S
        await asyncio.sleep(max(0.0, thawed_s - time.monotonic()))
        if self.has_trouble:
            frozen.signal(signal.SIGCONT)
            self.record.write("node_thawed", node=frozen.ip)

        self._judged_from_s = max(begun_s + EVACUATE_S, thawed_s + CONTACT_S) + 0.2
        await asyncio.sleep(self._judged_from_s - time.monotonic())
        self.record.write("judged_from_now")
        end_s = time.monotonic() + OBSERVED_S
        answered = 0
        while time.monotonic() < end_s:
            flow = caller.new_flow(HOST, PORT)
            answer = await flow.request(b"GET lot") if await flow.open() else None
            self.record.write("request", caller_port=flow.port, answer=answer)
            answered += answer is not None
            flow.close()
            await asyncio.sleep(FLOW_INTERVAL_S)
        if not answered:
            raise CaseError("no request was answered")

    def _on_opening(self, target: Target, packet: Packet) -> None:
        if target.zone == ZONE and time.monotonic() > self._judged_from_s:
            self.record.write_breach(
                "EVAC", f"flow {packet.sport} opened at {target.identity} in {ZONE}"
            )


if __name__ == "__main__":
    main(LateOrder, __file__)
