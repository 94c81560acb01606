"""Limits by class and route.  ``gate.py`` decides who is let in; the rest of the package is what it uses."""
