"""Nodes that know of each other: members by SWIM, and the list of senders passed on among them."""
