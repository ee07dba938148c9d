"""Executable specifications of the core protocols for model checking."""
