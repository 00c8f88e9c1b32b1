"""Decisions of the fleet: no sockets, no files, no clock of its own."""
