"""Imports and callbacks deferred until a process serves."""

from collections.abc import Callable
import contextlib
import importlib
import types

import gevent

from ebonytally import events
from ebonytally import recorder as recorders


def load_in_thread(name: str) -> types.ModuleType:
    """Import a module in a thread, so that greenlets continue to run."""
    pool = gevent.get_hub().threadpool
    return pool.apply(importlib.import_module, (name,))


def run_after(
    after_s: float,
    step: str,
    call: Callable[[], None],
    stack: contextlib.ExitStack,
    recorder: recorders.Recorder,
) -> None:
    """Run a callback in a new greenlet after a delay; log its failure.

    :param after_s: delay in seconds
    :param step: what `call` does, a log field
    :param stack: kills the greenlet
    """

    def run_call() -> None:
        try:
            call()
        except (OSError, RuntimeError) as exc:
            recorder.log_event(
                events.Event.TASK_FAILED,
                step=step,
                peer="",
                detail=str(exc),
            )

    stack.callback(gevent.spawn_later(after_s, run_call).kill)
