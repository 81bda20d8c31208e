"""A dozen real doors as processes while one of three zones is lost, by their logs and the links' books."""

from benchmarks.lost_zone import FRONT_DOOR_COUNT, play_day, zone_exits


def test_a_dozen_doors_leave_a_lost_zone_and_are_back_within_seconds() -> None:
    outcome = play_day("silent")
    assert outcome.kept, (outcome.crashes, outcome.verdict)
    found = zone_exits(outcome)
    # The day is 4 s without the zone. One that has little traffic learns late; none ever left it before there
    # were zones, and a quarter of the limits below is left for a busy machine.
    assert len(found.left_after_s) >= FRONT_DOOR_COUNT - 2 and found.wrong_exit_count <= 1
    assert found.time_until_share(0.5, found.left_after_s, FRONT_DOOR_COUNT) <= 3.5
    assert found.time_until_share(0.75, found.returned_after_s, len(found.left_after_s)) <= 3.0


def test_a_dozen_doors_leave_no_zone_for_three_boxes_that_hang() -> None:
    outcome = play_day("three boxes hang")
    assert outcome.kept, (outcome.crashes, outcome.verdict)
    assert len(zone_exits(outcome).left_after_s) + zone_exits(outcome).wrong_exit_count <= 1
