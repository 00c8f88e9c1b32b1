"""
Rate limits of workspaces and targets that all hosts enforce together.
"""
