"""Generates fault schedules for the bench, and analyses its journal entries (docs/almanac.md)."""
