"""Benchmarks of the production code, in simulations and on real processes."""
