"""Calls between the gateway's own processes: bounded frames of CBOR over TCP, requests, answers, notifications."""
