"""The bench's wire: JSON lines in, JSON lines out."""
