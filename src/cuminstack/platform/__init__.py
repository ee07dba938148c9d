"""Adapter between the platform's protocol and the types of this project."""

from cuminstack.platform._program import main

__all__ = ('main',)
