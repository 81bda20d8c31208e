"""`python -m irisdeal`: one front door in the foreground."""

import sys

from irisdeal.door.program import main

if __name__ == "__main__":
    sys.exit(main())
