"""Stand-ins for the platform, and the experiments that run against them."""
