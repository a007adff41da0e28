"""Calls between the system's own processes: `cbor2` in frames over TCP. Operators' words:
docs/system.md.
"""

from loomstand.rpc.network import Address, CallHandler, Network

__all__ = ["Address", "CallHandler", "Network"]
