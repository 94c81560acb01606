"""Replacing the process under load: two processes on one listening socket, and what the older hands over."""
