"""Replacing the process under load: two processes on one listening socket, and the handover of callers."""
