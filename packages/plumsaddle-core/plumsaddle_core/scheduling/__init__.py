"""Which requests are sent, wait or are refused while targets lack capacity."""
