"""Runs one program of the system and counts its messages.

    python -m benchmarks.scale_role PROGRAM FILE [--profile STATS]

The program runs unchanged, by its own `__main__`. The calls that it makes and serves are counted by
operation, and the bytes of frames and of operator calls; on SIGUSR1 the counts are written to FILE
as JSON, atomically. With `--profile STATS` the program is profiled (`cProfile`), which distorts its
times.
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

served: Counter[str] = Counter()
made: Counter[str] = Counter()
size: Counter[str] = Counter()


def install_counters() -> None:
    """Wraps the program's network functions so that they count."""
    encode_frame, receive, serve_call, serve = (
        tcp_connection.encode_frame,
        TcpConnection.data_received,
        ServerConnection.serve_call,
        OperatorHttpServer.serve,
    )

    def counted_encode_frame(frame: Frame) -> bytes:
        raw = encode_frame(frame)
        size["out"] += len(raw)
        if isinstance(frame, CallFrame):
            made[frame.operation] += 1
        return raw

    def counted_data_received(connection: TcpConnection, data: bytes) -> None:
        size["in"] += len(data)
        receive(connection, data)

    def counted_serve_call(connection: ServerConnection, call: CallFrame) -> Any:
        served[call.operation] += 1
        return serve_call(connection, call)

    def counted_serve(
        server: OperatorHttpServer, connection: Any, method: bytes, target: bytes, body: bytes
    ) -> Any:
        served["outside"] += 1
        size["outside in"] += len(target) + len(body)
        return serve(server, connection, method, target, body)

    tcp_connection.encode_frame = counted_encode_frame
    TcpConnection.data_received = counted_data_received
    ServerConnection.serve_call = counted_serve_call
    OperatorHttpServer.serve = counted_serve


def main() -> None:
    program, out, *more = sys.argv[1:]

    def write_counts(*_: object) -> None:
        usage = resource.getrusage(resource.RUSAGE_SELF)  # finer than the 10 ms ticks of /proc
        with open(out + ".new", "w", encoding="utf-8") as file:
            json.dump(
                {
                    "taken": served,
                    "made": made,
                    "bytes": size,
                    "cpu": [usage.ru_utime, usage.ru_stime],
                },
                file,
            )
        os.replace(out + ".new", out)

    signal.signal(signal.SIGUSR1, write_counts)
    install_counters()
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
