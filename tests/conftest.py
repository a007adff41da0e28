"""Loads the plugins of the test suite: `alone.py` and `known_red.py`."""

pytest_plugins = ("alone", "known_red")
