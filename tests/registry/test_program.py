"""The registry as a program: its background tasks, and changed settings."""

from __future__ import annotations

import asyncio

from loomstand.registry.context import BackgroundTasks
from loomstand.testing.simulation.cluster import Cluster


def test_background_tasks_are_cancelled_when_their_owner_closes():
    ended: list[str] = []

    async def work(name: str, seconds: float) -> None:
        try:
            await asyncio.sleep(seconds)
        except asyncio.CancelledError:
            ended.append(f"{name} cancelled")
            raise
        ended.append(f"{name} done")

    async def own() -> int:
        tasks = BackgroundTasks()
        tasks.spawn(work("short", 0.0))
        tasks.spawn(work("long", 60.0))
        await asyncio.sleep(0.01)
        await tasks.close()
        return len(asyncio.all_tasks())

    assert asyncio.run(own()) == 1  # `own` itself
    assert ended == ["short done", "long cancelled"]


def test_a_registry_ignores_changed_settings_until_its_next_start():
    cluster = Cluster(4, proxies=1)
    cluster.run(cluster.start())
    registry = cluster.registry(cluster.core_ips[0])
    core_hosts = registry.context.core_hosts
    registry.reload(cluster.settings(cluster.core_ips[0]))
    cluster.wait(1.5)
    assert registry.context.core_hosts == core_hosts
    assert registry.state.configuration.is_current(registry.context.clock())
    cluster.close()
