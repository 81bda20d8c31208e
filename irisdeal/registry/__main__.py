"""`python -m irisdeal.registry`: the registry."""

import sys

from irisdeal.registry.server import RegistryServer
from irisdeal.runtime.process import main

if __name__ == "__main__":
    sys.exit(main(RegistryServer))
