"""The decisions: plain functions and small state over the shared data."""
