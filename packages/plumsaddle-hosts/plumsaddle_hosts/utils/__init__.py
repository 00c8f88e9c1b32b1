"""Small helpers that both ways of running use."""
