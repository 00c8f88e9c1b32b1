"""The exchange between hosts."""
