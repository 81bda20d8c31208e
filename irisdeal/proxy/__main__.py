"""`python -m irisdeal.proxy`: the proxy."""

import sys

from irisdeal.runtime.early_listen import listen

if __name__ == "__main__":
    listening = listen("front", "readiness")  # before the rest is loaded, which takes longer than all else
    from irisdeal.proxy.process import Proxy
    from irisdeal.runtime.process import main

    sys.exit(main(lambda settings: Proxy(settings, listening)))
