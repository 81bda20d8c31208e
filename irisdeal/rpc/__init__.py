"""Remote procedure calls between the gateway's processes: length-prefixed CBOR frames over TCP."""
