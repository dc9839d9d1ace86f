"""JSON of the operators' API: bodies read strictly, answers written."""

import json
import typing

import attrs
import cattrs
from cattrs import gen

from ebonytally import errors
from ebonytally.intents import plan_messages as messages
from ebonytally.intents import plan_text
from ebonytally import view

MAX_ID = 64
MAX_LIST = 64
_PROTOCOLS = {"tcp": 6, "udp": 17}


@attrs.frozen
class CreateServiceBody:
    """Body of the intent to create a service.

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
_KIND_OF = {cls: kind for kind, cls in INTENTS.items()}
_KIND_OF[messages.CreateService] = "create_service"


def _strict(value: object, cls: type) -> object:
    if type(value) is not cls:
        raise TypeError(f"must be {cls.__name__}, not {value!r:.60}")
    return value


def _listed(value: object, _: type) -> tuple[str, ...]:
    if not isinstance(value, list) or len(value) > MAX_LIST:
        raise TypeError(f"must be a list of at most {MAX_LIST} names")
    return tuple(_strict(one, str) for one in value)


def _make_converter() -> cattrs.Converter:
    conv = cattrs.Converter(forbid_extra_keys=True)
    for plain in (str, int, bool):
        conv.register_structure_hook(plain, _strict)
    conv.register_structure_hook_func(
        lambda cls: cls == tuple[str, ...],
        _listed,
    )
    for cls in INTENTS.values():
        hook = gen.make_dict_structure_fn(
            cls,
            conv,
            _cattrs_forbid_extra_keys=True,
        )
        conv.register_structure_hook(cls, hook)
    conv.register_unstructure_hook_func(
        lambda cls: cls == messages.Intent,
        intent_dict,
    )
    return conv


def load_body(body: bytes) -> dict[str, object]:
    """Return the object in a request's body; an empty one is {}.

    :raises IntentError: when it is no JSON object
    """
    if not body:
        return {}
    try:
        raw = json.loads(body)
    except (ValueError, RecursionError) as exc:
        raise _fault(f"the body is not JSON: {exc}") from exc
    if not isinstance(raw, dict):
        raise _fault("the body must be a JSON object")
    return raw


def id_of(raw: dict[str, object]) -> str:
    """Return the operator's own id in a body.

    :raises IntentError: when there is none, or not a fit one
    """
    value = raw.get("id")
    fit = isinstance(value, str) and 1 <= len(value) <= MAX_ID
    if not fit or not value.isprintable():
        raise _fault(
            f"id: must be 1 to {MAX_ID} characters; choose any, and give "
            "the same again when you resend"
        )
    return value


def intent_of(raw: dict[str, object]) -> messages.Intent:
    """Return the intent in a body.

    :raises IntentError: with all faults
    """
    unknown = sorted(set(raw) - {"id", "intent"})
    if unknown:
        raise _fault(f"{unknown[0]!r:.60}: is not known")
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
        raise _fault("intent.protocol: must be tcp or udp")
    fields = attrs.asdict(body)
    fields["protocol"] = _PROTOCOLS[body.protocol]
    return messages.CreateService(view.Service(**fields))


def intent_dict(intent: messages.Intent) -> dict[str, object]:
    """Return an intent as its JSON object."""
    fields = attrs.asdict(intent)
    if isinstance(intent, messages.CreateService):
        fields = service_dict(intent.service)
    kept = {key: value for key, value in fields.items() if value is not None}
    return {"kind": _KIND_OF[type(intent)], **kept}


def service_dict(service: view.Service) -> dict[str, object]:
    """Return a service as its JSON object."""
    fields = attrs.asdict(service)
    names = {number: name for name, number in _PROTOCOLS.items()}
    fields["protocol"] = names.get(service.protocol, service.protocol)
    return fields


def plan_dict(plan: messages.Plan) -> dict[str, object]:
    """Return a plan with its draft as one JSON object, and its text."""
    fields = typing.cast(dict, _converter.unstructure(plan))
    draft = fields.pop("draft")
    return {**fields, **draft, "text": plan_text.lines(plan)}


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
