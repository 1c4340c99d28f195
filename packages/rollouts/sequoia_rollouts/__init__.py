"""The host process over a shared store: live requests, rollouts, weights."""
