"""What the whole suite is run with: `known_red.py` and `alone.py` say what each is for."""

pytest_plugins = ("alone", "known_red")
