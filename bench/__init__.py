"""Load generator, stand-in endpoints and measurements."""
