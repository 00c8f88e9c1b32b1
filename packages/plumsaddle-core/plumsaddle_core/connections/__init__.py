"""Requests of one connection: which of them run when, within which bounds."""
