"""DRAIN: a server that numbers its beats by its clock leaves, and goes on getting requests."""

from __future__ import annotations

import asyncio
import random
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standin.cluster import DRAIN_SECONDS, ZONES, CannotRunError, Cluster  # noqa: E402
from standin.main import run_case  # noqa: E402
from standin.users import Clients, Server, configure, small_configuration  # noqa: E402

HOST, KEY, SERVICE = "jepu9.example", "ctnfzs989anu6wsjnban", "wuno96b"
# Two of those that leave number their calls by the clock; the third, for comparison, counts them.
SERVERS, LEAVING = 7, 2
CALM_SECONDS = 6.0
SERVES_ON_SECONDS = 12.0
CLIENTS, PAUSE_SECONDS, WORK_SECONDS = 8, 0.1, (0.2, 0.4)


class ClockedServer(Server):
    """A server whose `sequence` is its clock in ns, which grows with every call."""

    @property
    def sequence(self) -> int:
        return time.time_ns()

    @sequence.setter
    def sequence(self, value: int) -> None:
        pass


async def play(cluster: Cluster, has_trouble: bool) -> list[str]:
    record = cluster.record
    servers = []
    for number in range(SERVERS):
        ip = f"{cluster.network}.3.{number + 1}"
        kind = Server if number == SERVERS - 1 else ClockedServer
        servers.append(kind(cluster, SERVICE, ZONES[number % 3], ip))
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
    leaving = [*servers[:LEAVING], servers[-1]] if has_trouble else []
    acks = await asyncio.gather(*(server.leave() for server in leaving))
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
    record.say(f"answers by status: {dict(sorted(answers.items()))}; at work at the end {at_work}")
    breaks = []
    for server, since in zip(leaving, acks, strict=True):
        late = [run for run in server.runs if run.at > since + DRAIN_SECONDS]
        record.say(
            f"server {server.id}, a {type(server).__name__}: leave acknowledged at {since:.3f}, "
            f"{len(late)} runs are late"
        )
        breaks += [
            f"DRAIN: {run.request_id} reached {run.server} {run.at - since:.3f} s after its leave "
            "was acknowledged"
            for run in late
        ]
    return breaks


if __name__ == "__main__":
    run_case(FOLDER, 2, play)
