"""Command line of the stand-alone limiter and its tools (`python -m loomstand`)."""
