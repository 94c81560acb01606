"""Load balancer node around the decision module tansygw: callers on one side, next hops on the other."""

VERSION = "0.2.0"
