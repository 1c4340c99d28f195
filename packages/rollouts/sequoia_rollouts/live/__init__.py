"""Live requests and streams."""
