"""A host that runs on the users' platform, from its sockets to its periodic work."""
