"""The side towards callers."""
