"""A dispatcher for sub-second tasks, and its coordination parts."""
