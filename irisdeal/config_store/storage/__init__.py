"""What a replica keeps: files on disk and the last versions in memory."""
