"""Entry point of the bench adapter; the code is in `loomstand.testing.bench_adapter`."""
