"""Ignores SIGHUP during startup; each program imports this module first.

Until a program has installed its signal handlers, SIGHUP ends the process by default, and most of
the startup time is spent loading code. A change of the settings file during that time isn't missed:
the program reads the file later, or detects that the file's modification time or size has changed
(`loomstand.rpc.start`).
"""

import signal

signal.signal(signal.SIGHUP, signal.SIG_IGN)
