"""Two control machines are removed for good, their successors long ready."""

import asyncio
import json
import re

from .http import call
from .machines import Machine
from .world import ZONES, World, is_troubled

SERVICE = "avisos"
SUCCESSORS_RUN_S = 10.0
RECOVERY_S = 12.0
READS = 8
_ELECTED = re.compile(r"timestamp=(\S+) .*event=leader_elected")


def leader_of(controls: list[Machine]) -> Machine:
    """Return the machine that was elected last."""
    elected = {c: _ELECTED.findall(c.output()) for c in controls}
    return max((c for c in controls if elected[c]), key=lambda c: elected[c][-1])


async def read_back(world: World, controls: list[Machine]) -> int:
    """Read the config from all nodes, several times; return the highest version."""
    version = 0
    for _ in range(READS):
        answers = await asyncio.gather(
            *(call(control.control, "GET", "/Config.Get") for control in controls)
        )
        for control, (status, body) in zip(controls, answers, strict=True):
            world.record.write(f"/Config.Get at {control.name}: status {status}")
            if status == 200:
                version = max(version, json.loads(body)["version"])
        await asyncio.sleep(0.5)
    return version


async def play_series(world: World, gap_s: float, *, leader_first: bool) -> None:
    """Remove two of the first three control machines and read the config back."""
    record, operator = world.record, world.operator
    first, late = world.fleet.controls[:3], world.fleet.controls[3:]
    operator.controls = list(first)
    for zone in ZONES:
        await world.add_target(zone, SERVICE)
    await world.begin(operator.config({SERVICE: 0.0}))
    for machine in late:
        machine.start()
    await asyncio.sleep(SUCCESSORS_RUN_S)
    config = operator.config({SERVICE: 0.0})
    await operator.order("/Config.Put", config)

    leader = leader_of(first)
    others = [c for c in first if c is not leader]
    removed = [leader, others[0]] if leader_first else others
    left = [c for c in (*first, *late) if c not in removed]
    record.write(f"{leader.name} leads; {len(late)} successors run")
    if is_troubled():
        for number, machine in enumerate(removed):
            if number:
                await asyncio.sleep(gap_s)
            machine.kill()
            record.write(f"{machine.name} is gone for good")
    else:
        left = [*first, *late]
        await asyncio.sleep(gap_s)
    await asyncio.sleep(RECOVERY_S)
    version = await read_back(world, left)
    record.write(f"read back: version {version}, acknowledged: {config['version']}")
    if version < config["version"]:
        record.fail(f"version {config['version']} can't be read back, got {version}")
