"""The operators' door: what may be asked there, how it is answered, and the figures."""
