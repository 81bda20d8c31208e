"""What is decided about requests that wait: whose turn it is, who gives way, when to come back. Pure."""
