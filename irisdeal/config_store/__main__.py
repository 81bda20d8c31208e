"""Entry point: `python -m irisdeal.config_store` runs one replica of the configuration store."""

import sys

from irisdeal.config_store.replica import StoreReplica
from irisdeal.runtime.process import main

if __name__ == "__main__":
    sys.exit(main(StoreReplica))
