"""An event loop on virtual time, in which simulated processes can be frozen or killed.

A callback belongs to the `SimProcess` in whose context it was scheduled, and so do the tasks and
timers that it creates. Callbacks of a frozen process are deferred until it thaws; those of a killed
process never run.
"""

from __future__ import annotations

import asyncio
import contextlib
import contextvars
import selectors
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any, TypeVar

T = TypeVar("T")


@dataclass(slots=True, eq=False)
class SimProcess:
    """A simulated operating system process, from its start to its end."""

    alive: bool = True
    frozen: bool = False
    deferred: list[_ProcessCallback] = field(default_factory=list)

    def context(self) -> contextvars.Context:
        """Returns a new context; what is started in it belongs to this process."""
        context = contextvars.Context()
        context.run(CURRENT_PROCESS.set, self)
        return context

    def thaw(self) -> None:
        """Continues the process; its deferred callbacks run in their order."""
        self.frozen = False
        deferred, self.deferred = self.deferred, []
        for process_callback in deferred:
            asyncio.get_running_loop().call_soon(process_callback, context=_NO_PROCESS)


@dataclass(slots=True, eq=False)
class _ProcessCallback:
    """A callback of a process; it can be cancelled while the process is frozen."""

    process: SimProcess
    callback: Callable[..., Any]
    args: tuple[Any, ...]
    context: contextvars.Context
    handle: asyncio.Handle | None = None

    def __call__(self) -> None:
        if not self.process.alive or (self.handle is not None and self.handle.cancelled()):
            return
        if self.process.frozen:
            self.process.deferred.append(self)
        else:
            self.context.run(self.callback, *self.args)


CURRENT_PROCESS: contextvars.ContextVar[SimProcess | None] = contextvars.ContextVar(
    "process", default=None
)
_NO_PROCESS = contextvars.Context()


class _VirtualSelector(selectors.BaseSelector):
    """A selector that advances the virtual clock to the next timer instead of waiting."""

    def __init__(self) -> None:
        self.now = 0.0
        self.keys: dict[Any, selectors.SelectorKey] = {}

    def register(self, fileobj: Any, events: int, data: Any = None) -> selectors.SelectorKey:
        self.keys[fileobj] = selectors.SelectorKey(fileobj, 0, events, data)
        return self.keys[fileobj]

    def unregister(self, fileobj: Any) -> selectors.SelectorKey:
        return self.keys.pop(fileobj)

    def select(self, timeout: float | None = None) -> list[Any]:
        if timeout is None:
            raise RuntimeError(
                "deadlock in the simulation: no callback is ready and no timer is set"
            )
        self.now += max(0.0, timeout)
        return []

    def get_map(self) -> dict[Any, selectors.SelectorKey]:
        return self.keys


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop on virtual time that assigns each callback to its process."""

    def __init__(self) -> None:
        self._virtual_selector = _VirtualSelector()
        super().__init__(self._virtual_selector)
        # Keeps tasks of killed processes until the loop closes, so that garbage collection doesn't
        # unwind them while others still run.
        self.unfinished_tasks: set[asyncio.Task[Any]] = set()

        def create_task(loop: Any, coro: Any, **kwargs: Any) -> asyncio.Task[Any]:
            task = asyncio.Task(coro, loop=loop, **kwargs)
            task._log_destroy_pending = False  # type: ignore[attr-defined]
            self.unfinished_tasks.add(task)
            task.add_done_callback(self.unfinished_tasks.discard, context=contextvars.Context())
            return task

        self.set_task_factory(create_task)

    def time(self) -> float:
        return self._virtual_selector.now

    def call_soon(self, callback: Any, *args: Any, context: Any = None) -> asyncio.Handle:
        context = contextvars.copy_context() if context is None else context
        process = context.get(CURRENT_PROCESS)
        if self.is_closed():  # coroutines closed by `close` may still schedule callbacks
            return asyncio.Handle(callback, args, self, context)
        if process is None:
            return super().call_soon(callback, *args, context=context)
        process_callback = _ProcessCallback(process, callback, args, context)
        process_callback.handle = super().call_soon(process_callback, context=_NO_PROCESS)
        return process_callback.handle

    def call_at(
        self, when: float, callback: Any, *args: Any, context: Any = None
    ) -> asyncio.TimerHandle:
        context = contextvars.copy_context() if context is None else context
        process = context.get(CURRENT_PROCESS)
        if process is None:
            return super().call_at(when, callback, *args, context=context)
        process_callback = _ProcessCallback(process, callback, args, context)
        timer = super().call_at(when, process_callback, context=_NO_PROCESS)
        process_callback.handle = timer
        return timer

    def close(self) -> None:
        """Closes the loop and all unfinished coroutines, also those of killed processes."""
        super().close()
        for task in self.unfinished_tasks:
            with contextlib.suppress(RuntimeError):
                task.get_coro().close()  # type: ignore[union-attr]
        self.unfinished_tasks.clear()


def run_simulated(work: Callable[[], Coroutine[Any, Any, T]]) -> T:
    """Runs `work` on a new virtual loop, whose time begins at 0, and returns its result."""
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(work())
    finally:
        loop.close()
