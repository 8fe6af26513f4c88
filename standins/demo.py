"""Demonstration under load and faults with callers, fabric, instances and upstreams."""

import tempfile
import time
from contextlib import ExitStack
from pathlib import Path

from .deployment import AGENCIA, Deployment, drain, kill, stop

COUNTS = (
    "sent",
    "answered",
    "refused",
    "not_opened",
    "unknown",
    "crossed",
    "doubled",
    "broken_flows",
)


def main() -> int:
    """Run the demo, print one line of totals and return the exit code."""
    with ExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        deployment = Deployment(AGENCIA, folder, stack)
        deployment.start()
        time.sleep(3.0)
        callers = [deployment.start_callers(service) for service in AGENCIA.services]
        time.sleep(3.0)
        stop(deployment.instances[0])
        time.sleep(2.0)
        drain(deployment.upstreams[0])
        time.sleep(2.0)
        kill(deployment.instances[4])
        results = [group.result() for group in callers]
        doubled = deployment.doubled_requests()
    totals = {name: sum(result.get(name, 0) for result in results) for name in COUNTS}
    totals["doubled"] = doubled
    print(" ".join(f"{name}={value}" for name, value in totals.items()))
    failed = totals["broken_flows"] or totals["crossed"] or doubled
    return 1 if failed or not totals["answered"] else 0


if __name__ == "__main__":
    raise SystemExit(main())
