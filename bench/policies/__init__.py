"""Policies measured on a seeded event loop, without sockets."""
