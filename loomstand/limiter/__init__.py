"""The stand-alone limiter: HTTP, counter and discovery connections around the decision engine.

In this package, "the protocol" is the operators' specification of the interfaces between clients,
limiters, servers, counter and discovery, and of their limits.
"""

from loomstand.limiter.limiter import Limiter

__all__ = ["Limiter"]
