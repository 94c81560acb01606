"""Measurements that anyone can rerun: ``python -m measure.NAME``.  None is part of the node or of CI."""
