"""The side towards targets."""
