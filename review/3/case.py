"""Status reports of another writer end the control processes."""

import asyncio
from collections import Counter

from reviewkit import http
from reviewkit.case import Case, main
from reviewkit.deployment import HEARTBEAT_S, ZONES
from reviewkit.operator import config, route, service

HOST, PORT = "127.198.0.1", 8443
SERVICE = "avisos"
# The platform starts a process again after a short delay.
RESTART_S = 0.5
WRITER_S = 30.0
# Ends of processes on so many core machines, and on each of them, are a fault.
MACHINES = 2
ENDS = 3
# Date and time to the microsecond: a whole number of more than the 64 bits of a count.
NO_COUNT = 20261205004512345678


class OtherWriter(Case):
    """Lets another writer send status reports with a number of another type."""

    async def steps(self) -> None:
        """Run the case."""
        self._ends: Counter[str] = Counter()
        for number, zone in enumerate(ZONES):
            await self.open_target(number + 1, zone, SERVICE)
        await self.operator.put(
            config(2, [route(HOST, PORT, SERVICE)], [service(SERVICE)])
        )
        await self.start_serving()
        await asyncio.sleep(2.0)
        platform = asyncio.create_task(self._restart_ended())
        writer = asyncio.create_task(self._write_reports())
        done, _ = await asyncio.wait({platform, writer}, timeout=WRITER_S)
        for task in (platform, writer):
            task.cancel()
        for task in done:
            task.result()
        counts = {ip: count for ip, count in self._ends.items() if count >= ENDS}
        self.record.write("own_ends", **{f"at_{k}": n for k, n in self._ends.items()})
        if len(counts) >= MACHINES:
            self.record.write_breach(
                "Fault", f"processes of core machines ended by themselves: {counts}"
            )
        for program in self.deployment.programs:
            if program.process.poll() is not None:
                self.deployment.restart(program)

    async def _restart_ended(self) -> None:
        """Start programs that have ended again, as the platform does."""
        while True:
            await asyncio.sleep(0.05)
            for program in self.deployment.programs:
                code = program.process.poll()
                if code is None:
                    continue
                self._ends[program.ip] += 1
                self.record.write(
                    "program_ended",
                    role=program.role,
                    ip=program.ip,
                    code=code,
                    times=self._ends[program.ip],
                )
                await asyncio.sleep(RESTART_S)
                self.deployment.restart(program)

    async def _write_reports(self) -> None:
        """Send a report in each interval, to the next node without an answer."""
        addresses = self.deployment.control_addresses
        attempt = 0
        sequence = NO_COUNT if self.has_trouble else 1
        while True:
            for _ in addresses:
                sequence += 1
                address = addresses[attempt % len(addresses)]
                attempt += 1
                body = self._report(sequence)
                path = "/Instances.Heartbeat/i-77aa55"
                answer = await http.call(address, "POST", path, body)
                status = answer.status if answer else "none"
                self.record.write(
                    "report_of_other_writer",
                    node=address,
                    sequence=sequence,
                    status=status,
                )
                if answer is not None and answer.status == 200:
                    break
            await asyncio.sleep(HEARTBEAT_S)

    def _report(self, sequence: int) -> dict[str, object]:
        return {
            "service": SERVICE,
            "address": f"{self.deployment.ip(2, 99)}:{self.deployment.target_port}",
            "zone": ZONES[0],
            "version": "v1",
            "slots": 2,
            "state": "ready",
            "cold_left_ms": 0,
            "sequence": sequence,
            "born": 1,
        }


if __name__ == "__main__":
    main(OtherWriter, __file__)
