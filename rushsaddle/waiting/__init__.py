"""Deferred jobs: ``scheduler.py`` decides when they are released; ``service.py`` connects it to the node."""
