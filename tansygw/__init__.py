"""Decision module of a load balancer: requests go to workers drawn at random by their reported free slots."""

from .decide import Dispatcher
from .interface import Settings

__all__ = ["Dispatcher", "Settings"]
