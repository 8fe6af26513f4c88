"""Validation of the announcements of upstreams."""

from jsonschema import Draft202012Validator
from jsonschema.exceptions import ValidationError

from ...errors import AnnouncementError
from ...fieldtypes import IPV4_PATTERN, MAX_INTEGER
from ...state.upstreams import UpstreamRecord, UpstreamState

ANNOUNCED_STATES = {
    "cold": UpstreamState.COLD,
    "ready": UpstreamState.READY,
    "draining": UpstreamState.DRAINING,
    "leaving": UpstreamState.LEAVING,
}
MAX_WEIGHT = 10_000
MAX_WORK_KINDS = 32
MAX_FAULT_LENGTH = 200
STEP = "check announcement"

_NAME = {"type": "string", "minLength": 1, "maxLength": 128, "pattern": r"^[!-~]+\Z"}
_COUNT = {"type": "integer", "minimum": 0, "maximum": MAX_INTEGER}

_validator = Draft202012Validator(
    {
        "type": "object",
        "additionalProperties": False,
        "required": [
            "upstream_id",
            "name",
            "data_centre",
            "address",
            "port",
            "service",
            "work_kinds",
            "state",
            "sequence",
            "weight",
            "open_connections",
            "busy_slots",
            "started_at_s",
        ],
        "properties": {
            "upstream_id": {"type": "string", "pattern": r"^[0-9a-f]{32}\Z"},
            "name": _NAME,
            "data_centre": _NAME,
            "address": {"type": "string", "pattern": rf"^{IPV4_PATTERN}\Z"},
            "port": {"type": "integer", "minimum": 1, "maximum": 65535},
            "service": _NAME,
            "work_kinds": {"type": "array", "items": _NAME, "maxItems": MAX_WORK_KINDS},
            "state": {"enum": list(ANNOUNCED_STATES)},
            "sequence": _COUNT | {"minimum": 1},
            "weight": {"type": "integer", "minimum": 1, "maximum": MAX_WEIGHT},
            "open_connections": _COUNT,
            "busy_slots": _COUNT,
            "started_at_s": {"type": "number", "minimum": 0, "maximum": MAX_INTEGER},
        },
    }
)


def parse_announcement(content: object) -> UpstreamRecord:
    """Return the upstream record of an announcement, given as decoded JSON.

    Raises:
        AnnouncementError: The announcement is invalid; lists every faulty field.
    """
    faults = sorted(_describe(error) for error in _validator.iter_errors(content))
    if faults:
        raise AnnouncementError("; ".join(faults), step=STEP)
    return UpstreamRecord(
        upstream_id=content["upstream_id"],
        name=content["name"],
        data_centre=content["data_centre"],
        address=content["address"],
        # JSON Schema accepts 1.0 as an integer.
        port=int(content["port"]),
        service=content["service"],
        work_kinds=tuple(content["work_kinds"]),
        state=ANNOUNCED_STATES[content["state"]],
        sequence=int(content["sequence"]),
        weight=int(content["weight"]),
        open_connections=int(content["open_connections"]),
        busy_slots=int(content["busy_slots"]),
        started_at_s=float(content["started_at_s"]),
    )


def _describe(error: ValidationError) -> str:
    path = ".".join(str(part) for part in error.absolute_path)
    fault = f"{path}: {error.message}" if path else error.message
    if len(fault) > MAX_FAULT_LENGTH:
        return fault[:MAX_FAULT_LENGTH] + "..."
    return fault
