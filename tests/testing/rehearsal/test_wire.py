"""Ports that are chosen before a process listens on them aren't assigned to another socket.

Guards against EADDRINUSE: the system assigned a port that had just been chosen for a listener to
the next socket that was bound to port 0, here a stand-in of the same test.
"""

from __future__ import annotations

import socket
from pathlib import Path

from loomstand.testing.rehearsal.wire import free_port, free_ports, own_host

LOCAL_PORT_RANGE = Path("/proc/sys/net/ipv4/ip_local_port_range")
HOST = own_host(8)
COUNT = 300


def test_chosen_ports_are_not_assigned_by_the_system():
    chosen = {free_port(HOST) for _ in range(COUNT)}
    sockets = [socket.create_server((HOST, 0)) for _ in range(COUNT)]
    assigned = {sock.getsockname()[1] for sock in sockets}
    for sock in sockets:
        sock.close()
    assert not chosen & assigned
    first, last = map(int, LOCAL_PORT_RANGE.read_text().split())
    assert not any(first <= port <= last for port in chosen)


def test_no_port_is_chosen_twice():
    chosen = [free_port(HOST), *free_ports(HOST, COUNT), free_port(HOST), *free_ports(HOST, COUNT)]
    assert len(set(chosen)) == 2 * COUNT + 2


def test_a_port_in_use_is_not_chosen():
    next_port = free_port(HOST) + 1
    with socket.create_server((HOST, next_port)):
        assert free_port(HOST) != next_port
