"""The daemon: its parts, its listeners for operators, its start and stop."""
