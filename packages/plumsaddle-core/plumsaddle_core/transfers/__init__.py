"""How large responses share a host's memory and its network link."""
