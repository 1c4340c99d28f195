"""The store: its interface, tables, rows and feeds."""
