"""Fleet membership by SWIM, and the target list passed on among the members."""
