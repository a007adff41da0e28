"""`python -m loomstand`: the stand-alone limiter and its tools."""

from loomstand.cli.main import main

if __name__ == "__main__":
    main()
