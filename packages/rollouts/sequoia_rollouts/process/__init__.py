"""The host process: its components, start and stop."""
