"""Effect of taking a data centre out of service and back, with real processes."""

import tempfile
import time
from contextlib import ExitStack
from pathlib import Path

from standins.deployment import AGENCIA, Callers, Deployment

from .result import Measure, at_most

SETTLE_S = 4.0
BEFORE_S = 6.0
OUT_S = 10.0
AFTER_S = 8.0
IN_EFFECT_S = 5.0
CONNECTIONS = 30
REQUESTS_PER_CONNECTION = 5
PAUSE_S = 0.1
MIN_ANSWERED_SHARE = 0.99


def measure() -> list[Measure]:
    """Take the second data centre out of service under load and bring it back."""
    with ExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        deployment = Deployment(AGENCIA, folder, stack)
        deployment.start()
        time.sleep(SETTLE_S)
        centre = AGENCIA.data_centres[1]
        callers = _start_callers(deployment)
        time.sleep(BEFORE_S)
        out_at_s = time.time()
        deployment.control("take-out", centre)
        time.sleep(OUT_S)
        back_at_s = time.time()
        deployment.control("bring-back", centre)
        result = callers.result()
        last_packet_s = deployment.last_packet_s(centre, out_at_s, back_at_s)
        doubled = deployment.doubled_requests()
    return [
        at_most(
            "last packet to a data centre after it was taken out",
            max(0.0, last_packet_s - out_at_s),
            "s",
            IN_EFFECT_S,
        ),
        *_answered_share_measures(result["seconds"]),
        at_most("crossed answers", result["crossed"], "answers", 0),
        at_most("requests run twice", doubled, "requests", 0),
    ]


def _start_callers(deployment: Deployment) -> Callers:
    period_s = BEFORE_S + OUT_S + AFTER_S
    rounds = int(period_s / (REQUESTS_PER_CONNECTION * (PAUSE_S + 0.02)))
    return deployment.start_callers(
        AGENCIA.services[0],
        connections=CONNECTIONS,
        requests=REQUESTS_PER_CONNECTION,
        pause_s=PAUSE_S,
        rounds=rounds,
    )


def _answered_share_measures(seconds: list[dict[str, int]]) -> list[Measure]:
    shares = [
        second["answered"] / second["sent"] for second in seconds if second["sent"]
    ]
    timeline = " ".join(f"{share:.2f}" for share in shares)
    change_s = int(BEFORE_S)
    settled = shares[: change_s - 1] + shares[change_s + int(IN_EFFECT_S) :]
    return [
        Measure(
            name="lowest share of requests answered in any second",
            figure=min(shares),
            unit="share",
            note=timeline,
        ),
        Measure(
            name="lowest share answered, without the 5 s after the change",
            figure=min(settled),
            unit="share",
            target=MIN_ANSWERED_SHARE,
            passes=min(settled) >= MIN_ANSWERED_SHARE,
            note=timeline,
        ),
    ]
