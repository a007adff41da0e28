"""What the three programs share, and what decides nothing: settings, the checked configuration,
verdicts.
"""
