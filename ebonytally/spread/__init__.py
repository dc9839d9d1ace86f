"""Members, and how the configuration reaches all of them."""
