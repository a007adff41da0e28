"""Command line for operators of the gateway (`python -m loomstand.ctl`).

No daemon imports it, because the packages it depends on aren't installed on the daemons' machines.
"""
