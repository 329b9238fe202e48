"""Leader election over the shared store, the leader's work and messages between instances."""
