"""Parsers for configuration and settings that report all errors at once."""
