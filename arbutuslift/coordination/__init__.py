"""Tasks that drive state by way of messages."""
