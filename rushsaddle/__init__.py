"""The real node round the decisions of tansygw: callers on one side, senders on the other."""

VERSION = "0.2.0"
