"""From texts written by people to checked data, with every error at once."""
