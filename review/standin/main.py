"""Runs a case: exit status 1 if the rule was broken, 0 if it held, 2 if it couldn't run."""

from __future__ import annotations

import asyncio
import os
import sys
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from standin.cluster import CannotRunError, Cluster, Record

LIMIT_SECONDS = 110.0


def run_case(
    folder: Path, fronts: int, play: Callable[[Cluster, bool], Awaitable[list[str]]]
) -> None:
    """Plays a case on a new cluster; `play` returns the breaks of the rule."""
    record = Record(folder)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"

    async def main() -> list[str]:
        cluster = Cluster(record, fronts)
        record.line(f"network {cluster.network}.0.0, trouble: {has_trouble}")
        try:
            async with asyncio.timeout(LIMIT_SECONDS):
                await cluster.start()
                return await play(cluster, has_trouble)
        finally:
            await cluster.stop()

    try:
        breaks = asyncio.run(main())
    except CannotRunError as error:
        record.say(f"the case couldn't run: {error}")
        sys.exit(2)
    except Exception:
        record.say(f"the case couldn't run: {traceback.format_exc()}")
        sys.exit(2)
    for text in breaks:
        record.say(text)
    record.say(f"rule broken {len(breaks)} times" if breaks else "rule held")
    sys.exit(1 if breaks else 0)
