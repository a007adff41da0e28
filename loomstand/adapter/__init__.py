"""Entry point of the bench's adapter; the code is in `loomstand.testing.bench_adapter`."""
