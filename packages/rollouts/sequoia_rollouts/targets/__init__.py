"""What a host knows of targets, and how it sends requests to them."""
