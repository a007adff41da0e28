"""`python -m loomstand.ctl`: see docs/ctl.md."""

from loomstand.ctl.commands import main

if __name__ == "__main__":
    raise SystemExit(main())
