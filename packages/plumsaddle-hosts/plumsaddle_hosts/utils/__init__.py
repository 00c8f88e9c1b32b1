"""Utilities shared by the edge and the daemon."""
