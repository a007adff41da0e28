"""python -m loomstand"""

from loomstand.cli.main import main

if __name__ == "__main__":
    main()
