"""Ignores SIGHUP during startup; each program imports this module first.

Until a program has installed its signal handlers, SIGHUP ends the process by default, and most of
the startup time is spent loading code. A settings file that changes during that time isn't missed:
the program reads it later, or detects that its stamp has changed (`loomstand.rpc.start`).
"""

import signal

signal.signal(signal.SIGHUP, signal.SIG_IGN)
