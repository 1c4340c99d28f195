"""Orders to engines to load weights."""
