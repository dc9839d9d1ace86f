"""Benchmarks, run by scripts/bench."""
