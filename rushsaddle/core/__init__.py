"""Event loop, transactions and the task that runs the decision module.  Independent of any protocol."""
