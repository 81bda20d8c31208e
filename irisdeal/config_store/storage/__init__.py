"""What a replica stores: files on disk, the last versions in memory, and the chunks that transfer them."""
