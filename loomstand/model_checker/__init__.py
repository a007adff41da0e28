"""Entry point of the model checker; the code is in `loomstand.testing.model_checker`."""
