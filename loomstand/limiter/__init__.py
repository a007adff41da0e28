"""The real limiter: clients, servers, counter and discovery on sockets, joined to the Brain."""

from loomstand.limiter.limiter import Limiter

__all__ = ["Limiter"]
