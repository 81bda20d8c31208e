"""Entry point of the proxy's process: `python -m irisdeal.proxy`."""

import sys

from irisdeal.runtime.early_listen import listen

if __name__ == "__main__":
    listening = listen("front", "readiness")  # before the other imports, which take most of the startup time
    from irisdeal.proxy.process import Proxy
    from irisdeal.runtime.process import main

    sys.exit(main(lambda settings: Proxy(settings, listening)))
