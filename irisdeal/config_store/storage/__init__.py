"""Storage of a replica: files on disk, recent versions in memory, and the chunks that transfer them."""
