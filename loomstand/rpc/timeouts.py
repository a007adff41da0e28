"""Waits with a timeout that end when their task is cancelled."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from typing import TypeVar

T = TypeVar("T")


async def wait_for(awaitable: Awaitable[T], timeout_seconds: float) -> T:
    """Returns the result of an awaitable, as `asyncio.wait_for`, without losing a cancellation.

    Before Python 3.12 `asyncio.wait_for` ignores a cancellation of its task if the awaitable
    completes in the same step of the event loop, and a task that loops over it never ends.

    Raises:
        TimeoutError: The awaitable did not complete within `timeout_seconds`.
        CancelledError: The task was cancelled, whether or not the awaitable has completed.
    """
    task = asyncio.current_task()
    if task is None:
        raise RuntimeError("wait_for was called outside of a task")
    cancellations_before = task.cancelling()
    try:
        return await asyncio.wait_for(awaitable, timeout_seconds)  # noqa: TID251
    finally:
        if task.cancelling() > cancellations_before:
            raise asyncio.CancelledError
