"""python -m loomstand"""

from loomstand.cli import main

if __name__ == "__main__":
    main()
