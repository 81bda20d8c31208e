"""A dozen real doors as processes while one of three zones is lost, by their logs and the links' books."""

from benchmarks.lost_zone import DOORS, leaving, played


def test_a_dozen_doors_leave_a_lost_zone_and_are_back_within_seconds() -> None:
    outcome = played("silent")
    assert outcome.kept, (outcome.crashes, outcome.verdict)
    found = leaving(outcome)
    # The day is 4 s without the zone. One that has little traffic learns late; none ever left it before there
    # were zones, and a quarter of the limits below is left for a busy machine.
    assert len(found.left) >= DOORS - 2 and found.wrong <= 1
    assert found.when(0.5, found.left, DOORS) <= 3.5
    assert found.when(0.75, found.back, len(found.left)) <= 3.0


def test_a_dozen_doors_leave_no_zone_for_three_boxes_that_hang() -> None:
    outcome = played("three boxes hang")
    assert outcome.kept, (outcome.crashes, outcome.verdict)
    assert len(leaving(outcome).left) + leaving(outcome).wrong <= 1
