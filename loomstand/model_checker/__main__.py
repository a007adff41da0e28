"""`python -m loomstand.model_checker`."""

import sys

from loomstand.testing.model_checker.__main__ import main

if __name__ == "__main__":
    sys.exit(main())
