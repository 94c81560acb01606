"""The operator's configuration file: schema, reading and validation."""
