"""Network code: caller legs, next hops, the discovery client and peer messages."""
