"""TWICE: the answer of a server that had begun work on a long request is lost."""

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standin.cluster import ZONES, CannotRunError, Cluster  # noqa: E402
from standin.main import run_case  # noqa: E402
from standin.users import (  # noqa: E402
    NOT_RUN_STATUSES,
    Clients,
    Run,
    Server,
    configure,
    small_configuration,
)

HOST, KEY, SERVICE = "jepu9.example", "ctnfzs989anu6wsjnban", "wuno96b"
SERVERS = 4
BODY = bytes(6 << 20)  # limits.max_body_bytes allows 64 MiB
REQUESTS = 400
CLIENTS = 8
# answer_lost, how = "reset", at the largest dose of the site: for 4 s, share = 0.5 of the servers
# lose the answers of x = 0.05 of the requests that they ran, here of each twentieth.
AFFECTED_SERVERS = 2
LOST_EACH = 20
CALM_SECONDS, LOSS_SECONDS = 1.0, 4.0


async def play(cluster: Cluster, has_trouble: bool) -> list[str]:
    record = cluster.record
    servers = []
    for number in range(SERVERS):
        ip = f"{cluster.network}.3.{number + 1}"
        server = Server(cluster, SERVICE, ZONES[number % 3], ip)
        server.long_body_bytes = 1 << 20
        server.receive_buffer_bytes = 1 << 16
        await server.start()
        servers.append(server)
    await configure(cluster, small_configuration(HOST, KEY, SERVICE))
    await cluster.until_ready()
    clients = Clients(cluster, HOST, KEY)

    async def client() -> None:
        while len(clients.requests) < REQUESTS:
            path = f"/once/{random.getrandbits(24):06x}"
            await clients.send("POST", path, BODY, is_idempotent=False, deadline_ms=6000)
            await asyncio.sleep(0.02)

    async def lose_answers() -> None:
        await asyncio.sleep(CALM_SECONDS)
        record.line("answer_lost begins")
        for server in servers[:AFFECTED_SERVERS]:
            server.lose_answer_each = LOST_EACH
        await asyncio.sleep(LOSS_SECONDS)
        for server in servers:
            server.lose_answer_each = 0
        record.line("answer_lost ends")

    began = record.now()
    trouble = [lose_answers()] if has_trouble else []
    await asyncio.gather(*trouble, *(client() for _ in range(CLIENTS)))
    record.say(f"{len(clients.requests)} requests in {record.now() - began:.1f} s")
    ended = cluster.check_running()
    if ended:
        raise CannotRunError(f"ended by themselves: {ended}")
    runs: dict[str, list[Run]] = {}
    for server in servers:
        for run in server.runs:
            runs.setdefault(run.request_id, []).append(run)
        record.say(f"server {server.id}: {len(server.runs)} runs, {server.lost_answers} lost")
    answers: dict[int, int] = {}
    for request in clients.requests.values():
        answers[request.status] = answers.get(request.status, 0) + 1
    record.say(f"answers by status: {dict(sorted(answers.items()))}")
    if answers.get(200, 0) < REQUESTS // 2:
        raise CannotRunError("fewer than half of the requests are served")
    breaks = []
    for request in clients.requests.values():
        begun = runs.get(request.id, [])
        if len(begun) > 1:
            places = ", ".join(f"{run.server} at {run.at:.3f}" for run in begun)
            breaks.append(
                f"TWICE: {request.id}, not repeatable, ran at {places}; "
                f"the client got {request.status}"
            )
        if begun and request.status in NOT_RUN_STATUSES:
            breaks.append(f"REFUSED: {request.id} got {request.status} and ran")
    return breaks


if __name__ == "__main__":
    run_case(FOLDER, 2, play)
