"""Byte budget and progress rules for bodies that are passed on as they come; no input or output."""
