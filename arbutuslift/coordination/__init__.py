"""Components of an instance that maintain shared state by exchanging messages."""
