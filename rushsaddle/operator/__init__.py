"""The operator's own file: what it may say, and how it is read and checked."""
