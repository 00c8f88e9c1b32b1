"""The data that every other part shares."""
