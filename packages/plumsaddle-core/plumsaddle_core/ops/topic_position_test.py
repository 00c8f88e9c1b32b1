"""
Tests of positions in topics of a store that comes back from older copies.
"""

from .topic_position import Position, Relation, TopicPosition


def _make(era=1, offset=10):
    position = TopicPosition()
    position.begin_listing()
    position.accept_listing(era, offset)
    return position


def test_a_later_era_makes_a_listing_due_whatever_its_offset():
    """Guards against taking reused offsets for records that are known already."""
    for offset in (5, 10, 15):
        position = _make()
        assert position.compare(2, offset) is Relation.RESTORED
        assert position.must_list
        assert position.accept_listing(2, 4)
        assert position.current == Position(2, 4)
        assert not position.must_list


def test_a_read_of_another_era_does_not_continue_a_position():
    """Guards against records of a log that has grown past the host's offset."""
    position = _make()
    assert not position.accept_read(2)
    assert position.must_list
    position.accept_listing(2, 12)
    # A read that had waited since before the restoration.
    assert not position.accept_read(1)
    assert not position.must_list
    assert position.accept_read(2)


def test_late_reports_and_listings_of_a_former_era_change_nothing():
    """Guards against going back to a state that the store no longer has."""
    position = _make(era=2)
    assert position.compare(1, 99) is Relation.OUTDATED
    assert not position.accept_listing(1, 99)
    assert position.current == Position(2, 10)


def test_an_era_that_the_store_does_not_confirm_is_ignored():
    """Guards against listing for good because of one wrong message."""
    position = _make()
    position.compare(7, 10)
    position.begin_listing()
    assert position.accept_listing(1, 10)
    assert not position.must_list
    assert position.compare(7, 10) is Relation.OUTDATED
    assert not position.must_list
    assert not position.accept_read(7)
    assert position.must_list


def test_a_restoration_that_is_reported_during_a_listing_causes_another():
    """Guards against missing the second of two restorations in a row."""
    position = _make()
    position.compare(2, 10)
    position.begin_listing()
    position.compare(3, 9)
    assert position.accept_listing(2, 10)
    assert position.must_list
    position.begin_listing()
    assert position.accept_listing(3, 8)
    assert not position.must_list


def test_a_restoration_that_another_topic_shows_during_a_listing_causes_another():
    """Guards against a topic that stays in the era between two restorations."""
    position = _make()
    position.note_era(2)
    position.begin_listing()
    position.note_era(3)
    assert position.accept_listing(2, 10)
    assert position.must_list
    position.begin_listing()
    assert position.accept_listing(3, 8)
    assert not position.must_list


def test_earlier_offsets_of_hosts_without_eras_are_unclear():
    """Guards against following a reader of a former release into another era."""
    position = _make()
    assert position.compare(None, 9) is Relation.UNCLEAR
    assert position.compare(None, 10) is Relation.UP_TO_DATE
    assert position.compare(None, 11) is Relation.BEHIND
    # A store that names no eras never goes back.
    assert _make(era=0).compare(None, 9) is Relation.UP_TO_DATE


def test_positions_are_ordered_by_era_first():
    assert Position(2, 3) > Position(1, 99)
