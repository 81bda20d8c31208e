"""The operator's word: its versions, whether it is valid, how it is kept on disk and mended."""
