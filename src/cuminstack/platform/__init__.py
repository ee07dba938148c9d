"""The users' platform: what it speaks, translated to our types and back."""

from cuminstack.platform._program import main

__all__ = ('main',)
