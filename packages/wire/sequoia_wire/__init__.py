"""HTTP client and server, codecs and platform clients of all processes."""
