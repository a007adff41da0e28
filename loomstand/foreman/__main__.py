"""`python -m loomstand.foreman`: see docs/foreman.md."""

from loomstand.foreman.commands import main

if __name__ == "__main__":
    raise SystemExit(main())
