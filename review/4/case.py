"""A target that turns cold again in the same boot gets the flows of a warm one."""

import asyncio
import time

from reviewkit.case import Case, main
from reviewkit.deployment import BOUNDS, ZONES, CaseError
from reviewkit.operator import config, route, service
from reviewkit.target import Target
from reviewkit.wire import Packet

HOST, PORT = "127.198.0.1", 8443
SERVICE = "avisos"
ZONE = ZONES[1]
COLD_S = 12.0
COLD_PER_S = 4.0
LIMIT = COLD_PER_S * BOUNDS["cold_burst_factor"] + BOUNDS["cold_slack"]
EVACUATED_S = 8.0
# Status reports that say that the target is cold, acknowledged before it is taken back.
REPORTS_BEFORE = 2
OBSERVED_S = 4.0
FLOW_INTERVAL_S = 0.025


class ColdAgain(Case):
    """Takes back a zone whose target has turned cold during the evacuation."""

    async def steps(self) -> None:
        """Run the case."""
        self._cold_openings: list[float] = []
        targets = [
            await self.open_target(
                number + 1, zone, SERVICE, on_opening=self._on_opening
            )
            for number, zone in enumerate(ZONES)
        ]
        target = next(item for item in targets if item.zone == ZONE)
        services = [service(SERVICE, cold_start_s=COLD_S, cold_per_s=COLD_PER_S)]
        await self.operator.put(config(2, [route(HOST, PORT, SERVICE)], services))
        await self.start_serving()
        await asyncio.sleep(3.0)
        caller = await self.open_caller(1, ZONE)
        await self.operator.order(f"/Evacuations.Begin/{ZONE}")
        evacuated_s = time.monotonic()
        await asyncio.sleep(EVACUATED_S - 3.0)
        if self.has_trouble:
            target.become_cold(COLD_S)
        before = target.acknowledged_reports
        while (
            target.acknowledged_reports < before + REPORTS_BEFORE
            or time.monotonic() < evacuated_s + EVACUATED_S
        ):
            await asyncio.sleep(0.05)
        await self.operator.order(f"/Evacuations.Finish/{ZONE}")
        returned_s = time.monotonic()
        end_s = returned_s + OBSERVED_S
        users = []
        while time.monotonic() < end_s:
            users.append(asyncio.create_task(self._use_flow(caller)))
            await asyncio.sleep(FLOW_INTERVAL_S)
        await asyncio.gather(*users)
        if not any(opened_s > returned_s for opened_s in target.openings):
            raise CaseError("the target got no flow after it was taken back")
        self._judge(target)

    async def _use_flow(self, caller) -> None:
        flow = caller.new_flow(HOST, PORT)
        answer = await flow.request(b"GET lot") if await flow.open() else None
        self.record.write("request", caller_port=flow.port, answer=answer)
        flow.close()

    def _on_opening(self, target: Target, packet: Packet) -> None:
        del packet
        if target.cold_left_s > 0:
            self._cold_openings.append(time.monotonic())

    def _judge(self, target: Target) -> None:
        """Compare the openings in each span of a second with the limit."""
        times = self._cold_openings
        most = max((sum(s <= t < s + 1.0 for t in times) for s in times), default=0)
        self.record.write(
            "cold_target",
            target=target.identity,
            most_in_one_second=most,
            limit=LIMIT,
            in_total=len(times),
        )
        if most > LIMIT:
            self.record.write_breach(
                "FAILBACK",
                f"{most} flows in one second at cold {target.identity}, limit {LIMIT}",
            )


if __name__ == "__main__":
    main(ColdAgain, __file__)
