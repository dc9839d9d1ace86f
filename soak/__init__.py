"""Fault soak: real processes under load and randomly drawn faults."""
