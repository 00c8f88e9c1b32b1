"""Small helpers without a decision in them."""
