"""Batch submissions, their items and results."""
