"""Admission limits by class and route; ``controller.py`` decides which requests are admitted."""
