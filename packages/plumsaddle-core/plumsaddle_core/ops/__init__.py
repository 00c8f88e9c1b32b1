"""The decision logic of a host, without I/O."""
