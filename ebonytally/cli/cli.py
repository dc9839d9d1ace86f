"""Entry point of the command line: parses, executes and prints."""

import contextlib
import io
import json
import os
import sys
import uuid

import attrs
import fire
from fire import core as fire_core

from ebonytally.cli import cli_calls as calls
from ebonytally.cli import cli_client
from ebonytally.cli import cli_help
from ebonytally.cli import cli_text
from ebonytally import errors

EXIT_DONE = 0
EXIT_REFUSED = 1
EXIT_USAGE = 2
_HELP = ("--help", "-h")
_HTTP_BAD_REQUEST = 400
_ID_BYTES = 6


@attrs.define
class _Options:
    """Options that all commands accept.

    :param at: addresses of entry VMs, separated by commas
    """

    at: str = ""
    token: str = ""
    json: bool = False
    help: bool = False


def main() -> None:
    """Run the command of `sys.argv` and exit with its status."""
    sys.exit(run(sys.argv[1:]))


def run(argv: list[str]) -> int:
    """Run one command and return its exit status."""
    try:
        options, words = _split_options(argv)
        if options.help or not words:
            print(cli_help.page(words))
            return EXIT_DONE if options.help else EXIT_USAGE
        call = _parse_call(words)
    except calls.UsageError as exc:
        print(f"ebonytally: {exc}", file=sys.stderr)
        return EXIT_USAGE
    return _execute(call, options)


def _split_options(argv: list[str]) -> tuple[_Options, list[str]]:
    """Separate the shared options from the words of the command.

    They may stand anywhere, and environment variables give defaults.

    :raises UsageError: when an option lacks its value
    """
    options = _Options(
        at=os.environ.get("EBONYTALLY_ADDRESS", ""),
        token=os.environ.get("EBONYTALLY_TOKEN", ""),
    )
    words = []
    remaining = list(argv)
    while remaining:
        word = remaining.pop(0)
        key, equals, value = word.partition("=")
        if word in _HELP or (word == "help" and not words):
            options.help = True
        elif word == "--json":
            options.json = True
        elif key in ("--at", "--token"):
            if not equals:
                value = remaining.pop(0) if remaining else ""
            if not value:
                raise calls.UsageError(f"{key} requires a value")
            setattr(options, key[2:], value)
        else:
            words.append(word)
    return options, words


def _parse_call(words: list[str]) -> calls.Call:
    """Return the call that the words of a command describe.

    :raises UsageError: when they are no valid command
    """
    if not cli_help.is_topic(words[0]):
        raise calls.UsageError(
            f"unknown command {words[0]!r}; see ebonytally --help"
        )
    captured = io.StringIO()
    try:
        with (
            contextlib.redirect_stdout(captured),
            contextlib.redirect_stderr(captured),
        ):
            # fire takes what follows "--" as its own flags, so none of the
            # words before can be one.
            call = fire.Fire(
                calls.Commands,
                command=[*words, "--"],
                name="ebonytally",
                serialize=lambda _: "",
            )
    except fire_core.FireExit as exc:
        raise calls.UsageError(_fire_error_text(exc, words)) from exc
    if not isinstance(call, calls.Call):
        raise calls.UsageError(_usage_error_text(words, "it is incomplete"))
    return call


def _fire_error_text(exc: fire_core.FireExit, words: list[str]) -> str:
    fault = "invalid arguments"
    if exc.trace.HasError():
        fault = exc.trace.elements[-1].ErrorAsStr()
    return _usage_error_text(words, fault)


def _usage_error_text(words: list[str], fault: str) -> str:
    text = " ".join(words)
    return f"{text}: {fault}; see ebonytally {words[0]} --help"


def _execute(call: calls.Call, options: _Options) -> int:
    match call:
        case calls.Version():
            return _version(options)
        case calls.Check(settings=path):
            return _check(path, options)
        case calls.Run(settings=path):
            return _run(path)
        case calls.Explain(caller=caller, route=route):
            return _explain(caller, route, options)
        case calls.Repair() | calls.Recover():
            return _repair_or_recover(call, options)
    return _call_api(call, options)


def _version(options: _Options) -> int:
    import ebonytally

    version = ebonytally.__version__
    if options.json:
        version = json.dumps({"version": version})
    print(version)
    return EXIT_DONE


def _explain(caller: str, route: str, options: _Options) -> int:
    from ebonytally.cli import cli_explain

    return cli_explain.run(options.at, caller, route, options.json)


def _check(path: str, options: _Options) -> int:
    from ebonytally import settings

    faults: tuple[str, ...] = ()
    try:
        settings.load(path)
    except errors.SettingsError as exc:
        faults = exc.faults
    if options.json:
        print(json.dumps({"ok": not faults, "faults": faults}))
    elif faults:
        print("\n".join(faults))
    else:
        print(f"{os.path.basename(path)}: no fault found")
    return EXIT_USAGE if faults else EXIT_DONE


def _run(path: str) -> int:
    from ebonytally import settings

    try:
        cfg = settings.load(path)
    except errors.SettingsError as exc:
        print(exc, file=sys.stderr)
        return EXIT_USAGE
    from ebonytally import daemon

    return daemon.run(cfg)


def _repair_or_recover(
    call: calls.Repair | calls.Recover, options: _Options
) -> int:
    from ebonytally.cli import cli_repair
    from ebonytally import settings

    operation = cli_repair.recover
    if isinstance(call, calls.Repair):
        operation = cli_repair.repair
    try:
        outcome = operation(settings.load(call.settings), call.yes)
    except errors.SettingsError as exc:
        print(exc, file=sys.stderr)
        return EXIT_USAGE
    except errors.StorageError as exc:
        outcome = cli_repair.Outcome(False, (f"Nothing was done: {exc}",))
    cli_repair.print_outcome(outcome, options.json)
    return EXIT_DONE if outcome.ok else EXIT_REFUSED


def _call_api(call: calls.Call, options: _Options) -> int:
    addresses = tuple(address for address in options.at.split(",") if address)
    if not addresses or not options.token:
        print(
            "ebonytally: give --at and --token, or set EBONYTALLY_ADDRESS "
            "and EBONYTALLY_TOKEN",
            file=sys.stderr,
        )
        return EXIT_USAGE
    client = cli_client.Client(addresses, options.token, _print_error)
    match call:
        case calls.StateIntent(intent=intent, id=name):
            name = name or _new_id()
            body = {"id": name, "intent": intent}
            answer = client.ask("POST", "/v1/intents", body)
        case calls.ClosePlan(verb=verb, plan=plan, id=name):
            name = name or f"{verb}-{plan}"
            path = f"/v1/plans/{plan}/{verb}"
            answer = client.ask("POST", path, {"id": name})
        case calls.Get(path=path):
            name = ""
            answer = client.ask("GET", path)
    return _print_answer(answer, name, options)


def _new_id() -> str:
    return uuid.uuid4().hex[: 2 * _ID_BYTES]


def _print_error(text: str) -> None:
    print(text, file=sys.stderr)


def _print_answer(
    answer: cli_client.Answer, name: str, options: _Options
) -> int:
    """Print an answer and return the exit status.

    :param name: id of the request, "" when it has none
    """
    succeeded = bool(answer.body.get("ok"))
    if options.json:
        id_field = {"id": name} if name else {}
        print(json.dumps({**answer.body, **id_field}))
    else:
        out = sys.stdout if succeeded else sys.stderr
        print("\n".join(cli_text.format_answer(answer.body)), file=out)
        if name and answer.code in (0, 503, 504):
            print(f"To send it again, add: --id {name}", file=out)
    if succeeded:
        return EXIT_DONE
    if answer.code == _HTTP_BAD_REQUEST:
        return EXIT_USAGE
    return EXIT_REFUSED
