"""Client accounts: who may call, and what belongs to whom."""
