"""`python -m irisdeal.almanac`: the store of the operator's word."""

import sys

from irisdeal.almanac.member import Member
from irisdeal.runtime.process import main

if __name__ == "__main__":
    sys.exit(main(Member))
