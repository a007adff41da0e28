"""Calls between the system's three programs (proxy, registry, store), and program startup.

- `network`: the interface by which a program calls others, independent of sockets
- `client`, `messages`: calls with typed messages, over any network
- `frames`: the encoding of calls in a byte stream; pure
- `tcp_connection`, `tcp_network`: the network over TCP sockets
- `errors`: what a failed call proves, and the errors raised here
- `operator_http`: the HTTP listener for calls of operators and servers
- `request_router`: dispatches each call to the handler of its operation
- `start`, `early_signals`: settings, signals and event loop of a program
"""

from loomstand.rpc.network import Address, CallHandler, Network

__all__ = ["Address", "CallHandler", "Network"]
