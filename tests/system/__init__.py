"""Tests of the three programs together, of their pages and their deploy file."""
