"""The operators' command line of the gateway. No daemon imports it: its packages aren't on their
machines.
"""
