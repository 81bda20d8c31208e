"""`python -m irisdeal`: one front door in the foreground."""

import sys

from irisdeal.front_door.server.program import main

if __name__ == "__main__":
    sys.exit(main())
