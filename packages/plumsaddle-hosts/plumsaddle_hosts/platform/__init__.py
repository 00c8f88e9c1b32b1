"""The platform's log and host list."""
