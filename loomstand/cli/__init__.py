"""The command line of the stand-alone limiter and of the tools (`python -m loomstand`)."""
