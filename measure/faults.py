"""Faults one after another under open connections, with real processes."""

import tempfile
import time
from contextlib import ExitStack
from pathlib import Path

from standins.deployment import (
    AGENCIA,
    Deployment,
    drain,
    freeze,
    kill,
    resume,
    stop,
)

from .result import Measure, at_most

SETTLE_S = 4.0
CONNECTIONS = 40
PAUSE_S = 0.25
REQUESTS = 240
FREEZE_S = 6.0
RESTARTED_INSTANCES = (3, 4, 5)
CONFLICT = 4


def measure() -> list[Measure]:
    """Inject all faults into one deployment and count what callers observed."""
    with ExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        deployment = Deployment(AGENCIA, folder, stack)
        deployment.start()
        time.sleep(SETTLE_S)
        callers = deployment.start_callers(
            AGENCIA.services[0],
            connections=CONNECTIONS,
            requests=REQUESTS,
            pause_s=PAUSE_S,
        )
        accepted = [1]
        restart_in_turn(deployment)
        drain(deployment.upstreams[0])
        freeze_one(deployment)
        accepted.append(kill_first_member(deployment))
        accepted.append(replace_wiped_member(deployment))
        winners = submit_concurrently(deployment, expected_revision=accepted[-1])
        history = deployment.control("history")
        result = callers.result()
        doubled = deployment.doubled_requests()
    revisions = [entry["revision"] for entry in history["result"]["entries"]]
    lost = set(accepted) - set(revisions)
    return [
        at_most("broken flows", result["broken_flows"], "flows", 0),
        at_most("requests without an answer", result["unknown"], "requests", 0),
        at_most("crossed answers", result["crossed"], "answers", 0),
        at_most("requests run twice", doubled, "requests", 0),
        at_most("accepted revisions lost", len(lost), "revisions", 0),
        at_most("operators beyond one that won a race", winners - 1, "operators", 0),
        Measure(name="requests answered", figure=result["answered"], unit="requests"),
    ]


def restart_in_turn(deployment: Deployment) -> None:
    """Restart instances one after another."""
    for number in RESTARTED_INSTANCES:
        instance = deployment.instances[number]
        stop(instance)
        instance.process.wait()
        deployment.restart_instance(number)


def freeze_one(deployment: Deployment) -> None:
    """Freeze an instance until after the failure detector declares it dead."""
    freeze(deployment.instances[6])
    time.sleep(FREEZE_S)
    resume(deployment.instances[6])


def kill_first_member(deployment: Deployment) -> int:
    """Kill the first member, change the configuration, and restart the member.

    Returns:
        The revision that was accepted while the member was down.
    """
    kill(deployment.instances[0])
    deployment.instances[0].process.wait()
    revision = change(deployment, expected_revision=1)
    deployment.restart_instance(0)
    return revision


def replace_wiped_member(deployment: Deployment) -> int:
    """Wipe and replace a member, then kill another member.

    Returns:
        The revision that was accepted after the second failure.
    """
    wiped = deployment.instances[1]
    kill(wiped)
    wiped.process.wait()
    deployment.wipe(1)
    deployment.restart_instance(1)
    deployment.control("replace-member", wiped.name, wiped.name)
    kill(deployment.instances[2])
    deployment.instances[2].process.wait()
    revision = change(deployment, expected_revision=2)
    deployment.restart_instance(2)
    return revision


def change(deployment: Deployment, expected_revision: int) -> int:
    """Apply a document that moves no flow and return its revision."""
    document = deployment.write_document(warm_up_s=30.0 + expected_revision)
    answer = deployment.control(
        "apply", str(document), f"--expected_revision={expected_revision}"
    )
    return answer["result"]["revision"]


def submit_concurrently(deployment: Deployment, expected_revision: int) -> int:
    """Let two operators submit documents based on the same revision.

    Returns:
        The number of operators whose document was accepted.
    """
    document = str(deployment.write_document())
    commands = [
        deployment.start_control(
            "apply", document, f"--expected_revision={expected_revision}"
        )
        for _ in range(2)
    ]
    for command in commands:
        command.communicate()
    codes = sorted(command.returncode for command in commands)
    if codes != [0, CONFLICT]:
        print(f"# race: exit codes {codes}")
    return codes.count(0)
