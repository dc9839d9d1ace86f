"""Loads what a process needs only after it has begun to serve."""

from collections.abc import Callable
import contextlib
import importlib
import types

import gevent

from ebonytally import events
from ebonytally import recorder as recorders


def load(name: str) -> types.ModuleType:
    """Import a module in a thread, so that other tasks go on."""
    pool = gevent.get_hub().threadpool
    return pool.apply(importlib.import_module, (name,))


def run(
    after_s: float,
    step: str,
    call: Callable[[], None],
    stack: contextlib.ExitStack,
    recorder: recorders.Recorder,
) -> None:
    """Run a call in a task of its own; log why it failed.

    :param after_s: seconds to wait first
    :param step: what the call does, for the log
    :param stack: ends the task
    """

    def work() -> None:
        try:
            call()
        except (OSError, RuntimeError) as exc:
            recorder.event(
                events.Event.TASK_FAILED,
                step=step,
                peer="",
                detail=str(exc),
            )

    stack.callback(gevent.spawn_later(after_s, work).kill)
