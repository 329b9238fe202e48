"""Who leads, and what the instances tell each other and keep in the shared store."""
