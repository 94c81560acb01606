"""Jobs that wait for a time or for other jobs.  ``plan.py`` decides; the rest joins it to the node."""
