"""`python -m irisdeal.gauge`: the registry."""

import sys

from irisdeal.gauge.station import Station
from irisdeal.runtime.process import main

if __name__ == "__main__":
    sys.exit(main(Station))
