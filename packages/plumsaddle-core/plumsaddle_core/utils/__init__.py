"""Utilities: event codec, idempotency keys and timers."""
