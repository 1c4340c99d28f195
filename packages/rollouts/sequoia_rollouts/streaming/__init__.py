"""Generations of engines, event by event."""
