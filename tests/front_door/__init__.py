"""Tests of `irisdeal.front_door`."""
