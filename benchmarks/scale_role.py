"""One real program of the system, with its messages counted: `python -m benchmarks.scale_role
PROGRAM FILE`.

The program runs unchanged by its own `__main__`. Counted are the calls that it makes and takes by
operation, and the bytes of frames and of calls from outside; at SIGUSR1 they are written to FILE as
JSON, at once and whole. With `--profile STATS` the program's work is profiled (`cProfile`), and its
times are no measure then.
"""

from __future__ import annotations

import cProfile
import json
import os
import resource
import runpy
import signal
import sys
from collections import Counter
from typing import Any

from loomstand.rpc import tcp_connection
from loomstand.rpc.frames import CallFrame, Frame
from loomstand.rpc.operator_http import OperatorHttpServer
from loomstand.rpc.tcp_connection import ServerConnection, TcpConnection

taken: Counter[str] = Counter()
made: Counter[str] = Counter()
size: Counter[str] = Counter()


def counted() -> None:
    """Puts the counts between the program and its network."""
    pack, received, answer, serve = (
        tcp_connection.encode_frame,
        TcpConnection.data_received,
        ServerConnection.serve_call,
        OperatorHttpServer.serve,
    )

    def packed(frame: Frame) -> bytes:
        raw = pack(frame)
        size["out"] += len(raw)
        if isinstance(frame, CallFrame):
            made[frame.operation] += 1
        return raw

    def data_received(line: TcpConnection, data: bytes) -> None:
        size["in"] += len(data)
        received(line, data)

    def answered(line: ServerConnection, call: CallFrame) -> Any:
        taken[call.operation] += 1
        return answer(line, call)

    def served(
        outside: OperatorHttpServer, held: Any, method: bytes, target: bytes, body: bytes
    ) -> Any:
        taken["outside"] += 1
        size["outside in"] += len(target) + len(body)
        return serve(outside, held, method, target, body)

    tcp_connection.encode_frame = packed
    TcpConnection.data_received = data_received
    ServerConnection.serve_call = answered
    OperatorHttpServer.serve = served


def main() -> None:
    program, out, *more = sys.argv[1:]

    def tell(*_: object) -> None:
        use = resource.getrusage(resource.RUSAGE_SELF)  # finer than the ticks that others see
        with open(out + ".new", "w", encoding="utf-8") as file:
            json.dump(
                {"taken": taken, "made": made, "bytes": size, "cpu": [use.ru_utime, use.ru_stime]},
                file,
            )
        os.replace(out + ".new", out)

    signal.signal(signal.SIGUSR1, tell)
    counted()
    sys.argv = [f"loomstand.{program}"]
    if more[:1] != ["--profile"]:
        runpy.run_module(
            f"loomstand.{program}.__main__", run_name="loomstand_main", alter_sys=False
        )
        return
    profile = cProfile.Profile()
    try:
        profile.runcall(
            runpy.run_module, f"loomstand.{program}.__main__", run_name="loomstand_main"
        )
    finally:
        profile.dump_stats(more[1])


if __name__ == "__main__":
    main()
