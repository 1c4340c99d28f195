"""Usage of client accounts: counting, collecting and reporting."""
