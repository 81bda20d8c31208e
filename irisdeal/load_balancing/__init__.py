"""Which backend a request goes to, and when it goes to another zone. No input or output."""
