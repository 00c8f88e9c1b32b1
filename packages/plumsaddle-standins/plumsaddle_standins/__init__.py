"""Stand-ins for the systems around the fleet, and what runs against them."""
