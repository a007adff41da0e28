"""The proxy: the limiter on sockets and its decision module, as a data plane (docs/system.md)."""
