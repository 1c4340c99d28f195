"""Orders targets: how many run in each failure domain."""
