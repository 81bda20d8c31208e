"""`python -m irisdeal.proxy`: the proxy."""

import sys

from irisdeal.mast.early import listen

if __name__ == "__main__":
    listening = listen("front", "readiness")  # before the rest is loaded, which takes longer than all else
    from irisdeal.mast.process import main
    from irisdeal.proxy.process import Proxy

    sys.exit(main(lambda settings: Proxy(settings, listening)))
