"""The loop, requests on their way, and the one task that owns the decisions.  No protocol is known here."""
