"""What tests of formats share: makers of the committed data, and readers of it."""
