"""The registry: which backends there are, by life; it takes the outside calls for itself and the store."""
