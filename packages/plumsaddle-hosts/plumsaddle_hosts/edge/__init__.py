"""A host on the users' platform, with its sockets and periodic tasks."""
