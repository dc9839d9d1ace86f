"""JSON of the operators' API: strict parsing and serialisation."""

import json
import typing

import attrs
import cattrs
from cattrs import gen

from ebonytally import errors
from ebonytally.intents import plan_messages as messages
from ebonytally.intents import plan_text
from ebonytally import view

MAX_ID_CHARS = 64
MAX_LIST_ITEMS = 64
_PROTOCOLS = {"tcp": 6, "udp": 17}


@attrs.frozen
class CreateServiceBody:
    """JSON fields of the intent to create a service.

    :param protocol: "tcp" or "udp"
    """

    name: str
    address: str
    port: int
    data_centres: tuple[str, ...]
    protocol: str = "tcp"
    max_connections: int = 2000
    max_queue: int = 64
    max_request_bytes: int = 4 * 1024 * 1024
    slots: int = 1024


INTENTS: dict[str, type] = {
    "create_service": CreateServiceBody,
    "change_service": messages.ChangeService,
    "remove_service": messages.RemoveService,
    "data_centre_out": messages.TakeOut,
    "data_centre_back": messages.BringBack,
    "add_vm": messages.AddVm,
    "replace_vm": messages.ReplaceVm,
    "retire_vm": messages.RetireVm,
}
_KIND_BY_CLASS = {cls: kind for kind, cls in INTENTS.items()}
_KIND_BY_CLASS[messages.CreateService] = "create_service"


def _require_type(value: object, cls: type) -> object:
    if type(value) is not cls:
        raise TypeError(f"must be {cls.__name__}, not {value!r:.60}")
    return value


def _parse_names(value: object, _: type) -> tuple[str, ...]:
    if not isinstance(value, list) or len(value) > MAX_LIST_ITEMS:
        raise TypeError(f"must be a list of at most {MAX_LIST_ITEMS} names")
    return tuple(_require_type(name, str) for name in value)


def _make_converter() -> cattrs.Converter:
    converter = cattrs.Converter(forbid_extra_keys=True)
    for plain in (str, int, bool):
        converter.register_structure_hook(plain, _require_type)
    converter.register_structure_hook_func(
        lambda cls: cls == tuple[str, ...],
        _parse_names,
    )
    for cls in INTENTS.values():
        hook = gen.make_dict_structure_fn(
            cls,
            converter,
            _cattrs_forbid_extra_keys=True,
        )
        converter.register_structure_hook(cls, hook)
    converter.register_unstructure_hook_func(
        lambda cls: cls == messages.Intent,
        intent_dict,
    )
    return converter


def load_body(body: bytes) -> dict[str, object]:
    """Return the JSON object of a request body, {} for an empty body.

    :raises IntentError: when the body isn't a JSON object
    """
    if not body:
        return {}
    try:
        raw = json.loads(body)
    except (ValueError, RecursionError) as exc:
        raise _fault(f"the body is not JSON: {exc}") from exc
    if not isinstance(raw, dict):
        raise _fault(
            f"the body must be a JSON object, got {type(raw).__name__}"
        )
    return raw


def read_id(raw: dict[str, object]) -> str:
    """Return the operator's own id of a request.

    :raises IntentError: when it is missing, too long or not printable
    """
    value = raw.get("id")
    valid = isinstance(value, str) and 1 <= len(value) <= MAX_ID_CHARS
    if not valid or not value.isprintable():
        raise _fault(
            f"id: must be 1 to {MAX_ID_CHARS} printable characters; choose "
            "any, and use the same id again when you resend"
        )
    return value


def read_intent(raw: dict[str, object]) -> messages.Intent:
    """Return the intent of a request.

    :raises IntentError: when it is invalid; lists all faulty fields
    """
    unknown = sorted(set(raw) - {"id", "intent"})
    if unknown:
        raise _fault(f"{unknown[0]!r:.60}: unknown key, expected id, intent")
    fields = raw.get("intent")
    if not isinstance(fields, dict):
        raise _fault('intent: must be an object with "kind"')
    fields = dict(fields)
    kind = fields.pop("kind", None)
    cls = INTENTS.get(kind) if isinstance(kind, str) else None
    if cls is None:
        raise _fault(f"intent.kind: must be one of {', '.join(INTENTS)}")
    try:
        body = _converter.structure(fields, cls)
    except Exception as exc:
        raise _fault("; ".join(cattrs.transform_error(exc, "intent"))) from exc
    if isinstance(body, CreateServiceBody):
        return _create_service(body)
    return body


def _create_service(body: CreateServiceBody) -> messages.CreateService:
    if body.protocol not in _PROTOCOLS:
        raise _fault(
            f"intent.protocol: must be tcp or udp, not {body.protocol!r:.60}"
        )
    fields = attrs.asdict(body)
    fields["protocol"] = _PROTOCOLS[body.protocol]
    return messages.CreateService(view.Service(**fields))


def intent_dict(intent: messages.Intent) -> dict[str, object]:
    """Return an intent as its JSON object."""
    fields = attrs.asdict(intent)
    if isinstance(intent, messages.CreateService):
        fields = service_dict(intent.service)
    present = {
        key: value for key, value in fields.items() if value is not None
    }
    return {"kind": _KIND_BY_CLASS[type(intent)], **present}


def service_dict(service: view.Service) -> dict[str, object]:
    """Return a service as its JSON object."""
    fields = attrs.asdict(service)
    names = {number: name for name, number in _PROTOCOLS.items()}
    fields["protocol"] = names.get(service.protocol, service.protocol)
    return fields


def plan_dict(plan: messages.Plan) -> dict[str, object]:
    """Return a plan, its draft and its text as one flat JSON object."""
    fields = typing.cast(dict, _converter.unstructure(plan))
    draft = fields.pop("draft")
    return {**fields, **draft, "text": plan_text.format_plan(plan)}


def answer_dict(answer: messages.Answer) -> dict[str, object]:
    """Return an answer as its JSON object."""
    out: dict[str, object] = {
        "ok": not answer.reason,
        "reason": answer.reason,
        "text": answer.text,
    }
    if answer.plan is not None:
        out["plan"] = plan_dict(answer.plan)
    return out


def _fault(detail: str) -> errors.IntentError:
    return errors.IntentError("read body", "", detail)


_converter = _make_converter()
