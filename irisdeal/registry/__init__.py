"""The registry: which backends there are, by incarnation; it takes the HTTP calls for itself and the store."""
