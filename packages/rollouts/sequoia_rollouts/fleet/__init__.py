"""Hosts among themselves: leases, heartbeats, ownership, peers."""
