"""Command line of the daemon and of its operators."""

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
_BAD_REQUEST = 400
_ID_BYTES = 6


@attrs.define
class _Options:
    """Options that all commands share."""

    at: str = ""
    token: str = ""
    json: bool = False
    help: bool = False


def main() -> None:
    """Run the command line and exit."""
    sys.exit(run(sys.argv[1:]))


def run(argv: list[str]) -> int:
    """Run one command; return the exit status."""
    try:
        options, words = _split(argv)
        if options.help or not words:
            print(cli_help.page(words))
            return EXIT_DONE if options.help else EXIT_USAGE
        call = _parse(words)
    except calls.UsageError as exc:
        print(f"ebonytally: {exc}", file=sys.stderr)
        return EXIT_USAGE
    return _do(call, options)


def _split(argv: list[str]) -> tuple[_Options, list[str]]:
    """Take the shared options out of the arguments."""
    options = _Options(
        at=os.environ.get("EBONYTALLY_ADDRESS", ""),
        token=os.environ.get("EBONYTALLY_TOKEN", ""),
    )
    words = []
    rest = list(argv)
    while rest:
        word = rest.pop(0)
        key, equals, value = word.partition("=")
        if word in _HELP or (word == "help" and not words):
            options.help = True
        elif word == "--json":
            options.json = True
        elif key in ("--at", "--token"):
            if not equals:
                value = rest.pop(0) if rest else ""
            if not value:
                raise calls.UsageError(f"{key} needs a value")
            setattr(options, key[2:], value)
        else:
            words.append(word)
    return options, words


def _parse(words: list[str]) -> calls.Call:
    """Return what the words ask for."""
    if not cli_help.is_topic(words[0]):
        raise calls.UsageError(
            f"there is no command {words[0]!r}; see ebonytally --help"
        )
    noise = io.StringIO()
    try:
        with (
            contextlib.redirect_stdout(noise),
            contextlib.redirect_stderr(noise),
        ):
            # "--" keeps fire's own flags out of the commands.
            found = fire.Fire(
                calls.Commands,
                command=[*words, "--"],
                name="ebonytally",
                serialize=lambda _: "",
            )
    except fire_core.FireExit as exc:
        raise calls.UsageError(_fire_fault(exc, words)) from exc
    if not isinstance(found, calls.Call):
        raise calls.UsageError(_see(words, "a word is missing"))
    return found


def _fire_fault(exc: fire_core.FireExit, words: list[str]) -> str:
    fault = "it can't be read"
    if exc.trace.HasError():
        fault = exc.trace.elements[-1].ErrorAsStr()
    return _see(words, fault)


def _see(words: list[str], fault: str) -> str:
    text = " ".join(words)
    return f"{text}: {fault}; see ebonytally {words[0]} --help"


def _do(call: calls.Call, options: _Options) -> int:
    match call:
        case calls.Version():
            return _version(options)
        case calls.Check(settings=path):
            return _check(path, options)
        case calls.Run(settings=path):
            return _run(path)
        case calls.Repair() | calls.Recover():
            return _mend(call, options)
    return _ask(call, options)


def _version(options: _Options) -> int:
    import ebonytally

    version = ebonytally.__version__
    if options.json:
        version = json.dumps({"version": version})
    print(version)
    return EXIT_DONE


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
        print(f"{os.path.basename(path)}: no fault")
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


def _mend(call: calls.Repair | calls.Recover, options: _Options) -> int:
    from ebonytally.cli import cli_repair
    from ebonytally import settings

    mend = cli_repair.recover
    if isinstance(call, calls.Repair):
        mend = cli_repair.repair
    try:
        done = mend(settings.load(call.settings), call.yes)
    except errors.SettingsError as exc:
        print(exc, file=sys.stderr)
        return EXIT_USAGE
    except errors.StorageError as exc:
        done = cli_repair.Done(False, (f"Nothing was done: {exc}",))
    cli_repair.tell(done, options.json)
    return EXIT_DONE if done.ok else EXIT_REFUSED


def _ask(call: calls.Call, options: _Options) -> int:
    addresses = tuple(one for one in options.at.split(",") if one)
    if not addresses or not options.token:
        print(
            "ebonytally: give --at and --token, or set EBONYTALLY_ADDRESS "
            "and EBONYTALLY_TOKEN",
            file=sys.stderr,
        )
        return EXIT_USAGE
    client = cli_client.Client(addresses, options.token, _note)
    match call:
        case calls.State(intent=intent, id=name):
            name = name or _new_id()
            body = {"id": name, "intent": intent}
            answer = client.ask("POST", "/v1/intents", body)
        case calls.Close(verb=verb, plan=plan, id=name):
            name = name or f"{verb}-{plan}"
            path = f"/v1/plans/{plan}/{verb}"
            answer = client.ask("POST", path, {"id": name})
        case calls.Show(path=path):
            name = ""
            answer = client.ask("GET", path)
    return _tell(answer, name, options)


def _new_id() -> str:
    return uuid.uuid4().hex[: 2 * _ID_BYTES]


def _note(text: str) -> None:
    print(text, file=sys.stderr)


def _tell(answer: cli_client.Answer, name: str, options: _Options) -> int:
    """Print an answer and return the exit status."""
    done = bool(answer.body.get("ok"))
    if options.json:
        extra = {"id": name} if name else {}
        print(json.dumps({**answer.body, **extra}))
    else:
        out = sys.stdout if done else sys.stderr
        print("\n".join(cli_text.lines(answer.body)), file=out)
        if name and answer.code in (0, 503, 504):
            print(f"To send it again, add: --id {name}", file=out)
    if done:
        return EXIT_DONE
    if answer.code == _BAD_REQUEST:
        return EXIT_USAGE
    return EXIT_REFUSED
