"""The admin port: commands, the server, and metrics."""
