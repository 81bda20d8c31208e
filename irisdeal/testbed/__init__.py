"""A stand-in platform on loopback: boxes, roster, count keeper, terminals, faults, and the judge of it all.

Nothing here imports the door. What each stand-in saw is in its own books (`books.py`); `audit.py` judges the
five rules by those books alone, and `service.py` reckons what the stores got.
"""
