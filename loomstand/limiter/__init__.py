"""The stand-alone limiter: HTTP, counter and discovery connections around the decision engine."""

from loomstand.limiter.limiter import Limiter

__all__ = ["Limiter"]
