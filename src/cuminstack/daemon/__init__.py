"""The daemon: listeners, links and the loop around the deciding parts."""
