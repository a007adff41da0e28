"""The bench's protocol: JSON lines on standard input and output."""
