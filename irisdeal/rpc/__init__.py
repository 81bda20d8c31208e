"""What the gateway's own processes say to each other: bounded frames of CBOR over TCP, calls and answers."""
