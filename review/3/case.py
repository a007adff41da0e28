"""DRAIN: a leave is acknowledged by a registry that has lost its servers, and told to nobody."""

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standin.cluster import (  # noqa: E402
    CONTACT_SECONDS,
    DRAIN_SECONDS,
    ZONES,
    CannotRunError,
    Cluster,
)
from standin.main import run_case  # noqa: E402
from standin.users import Clients, Server, configure, small_configuration  # noqa: E402

HOST, KEY, SERVICE = "jepu9.example", "ctnfzs989anu6wsjnban", "wuno96b"
SERVERS = 6
LEAVING = 2
CALM_SECONDS = 4.0
# "They may then come back within a second."
DOWN_SECONDS = 0.5
# A leaving server serves on for `drain` and a little more, "at times many seconds".
SERVES_ON_SECONDS = 12.0
CLIENTS = 8
PAUSE_SECONDS = 0.1
WORK_SECONDS = (0.2, 0.4)


async def play(cluster: Cluster, has_trouble: bool) -> list[str]:
    record = cluster.record
    servers = []
    for number in range(SERVERS):
        ip = f"{cluster.network}.3.{number + 1}"
        servers.append(Server(cluster, SERVICE, ZONES[number % 3], ip))
        servers[-1].work_seconds = WORK_SECONDS
        await servers[-1].start()
    await configure(cluster, small_configuration(HOST, KEY, SERVICE))
    await cluster.until_ready()
    clients = Clients(cluster, HOST, KEY)
    is_over = False

    async def client() -> None:
        while not is_over:
            path = f"/once/{random.getrandbits(24):06x}"
            await clients.send("POST", path, b"order", is_idempotent=False, deadline_ms=6000)
            await asyncio.sleep(PAUSE_SECONDS)

    tasks = [asyncio.create_task(client()) for _ in range(CLIENTS)]
    await asyncio.sleep(CALM_SECONDS)
    core = cluster.core_processes()
    if has_trouble:
        record.line("all processes of the core are killed")
        await asyncio.gather(*(process.kill() for process in core))
    leaving = servers[:LEAVING]
    acknowledgements = [asyncio.create_task(server.leave()) for server in leaving]
    if has_trouble:
        await asyncio.sleep(DOWN_SECONDS)
        for process in core:
            await process.start(is_first=False)
    core_started_at = max(process.started_at for process in core)
    acknowledged_at = dict(zip(leaving, await asyncio.gather(*acknowledgements), strict=True))
    await asyncio.sleep(SERVES_ON_SECONDS)
    at_work = sum(server.end() for server in leaving)
    await asyncio.sleep(1.0)
    is_over = True
    await asyncio.gather(*tasks)
    ended = cluster.check_running()
    if ended:
        raise CannotRunError(f"ended by themselves: {ended}")

    answers: dict[int, int] = {}
    for request in clients.requests.values():
        answers[request.status] = answers.get(request.status, 0) + 1
    record.say(f"answers by status: {dict(sorted(answers.items()))}")
    record.say(f"requests at work as the servers that left ended: {at_work}")
    breaks = []
    for server, since in acknowledged_at.items():
        # The front machines were never disturbed; they are in touch again `contact` after the core
        # machines' last start. Twice that is left out here.
        judged_from = since + DRAIN_SECONDS
        if has_trouble:
            judged_from = max(judged_from, core_started_at + 2 * CONTACT_SECONDS)
        late = [run for run in server.runs if run.at > judged_from]
        record.say(
            f"server {server.id}: leave acknowledged at {since:.3f}, {len(server.runs)} runs, "
            f"{len(late)} of them late"
        )
        breaks += [
            f"DRAIN: {run.request_id} reached {run.server} at {run.at:.3f}, "
            f"{run.at - since:.3f} s after its leave was acknowledged"
            for run in late
        ]
    return breaks


if __name__ == "__main__":
    run_case(FOLDER, 2, play)
