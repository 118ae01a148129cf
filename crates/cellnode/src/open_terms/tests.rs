//! Tests of which former leaders a new one takes for still acting.

use {super::OpenTermsRow, crate::rows::LeaderRow};

fn leader(term: u64, address: &str) -> LeaderRow {
    LeaderRow { id: term * 100, address: address.to_owned(), term }
}

fn former_terms(row: &OpenTermsRow) -> Vec<u64> {
    row.former().iter().map(|former| former.term).collect()
}

#[test]
fn the_first_leader_of_a_cell_has_no_former_ones() {
    let row = OpenTermsRow::next(None, None, leader(1, "a"));
    assert_eq!(row, OpenTermsRow::of_one(leader(1, "a")));
    assert!(row.former().is_empty());
}

/// Guards against a leader that asks only the one before it: that one may itself have waited for others.
#[test]
fn leaders_in_series_all_stay_in_the_row_until_they_are_known_to_have_ended() {
    let first = OpenTermsRow::next(None, None, leader(1, "a"));
    let second = OpenTermsRow::next(Some(first), Some(1), leader(2, "b"));
    let third = OpenTermsRow::next(Some(second), Some(2), leader(3, "c"));
    assert_eq!(former_terms(&third), [1, 2]);
    let settled = OpenTermsRow::of_one(leader(3, "c"));
    let fourth = OpenTermsRow::next(Some(settled), Some(3), leader(4, "d"));
    assert_eq!(former_terms(&fourth), [3]);
    assert!(!fourth.is_incomplete);
}

/// A process that is elected again has ended its former term, and so has one whose address it has.
#[test]
fn a_leader_at_the_same_address_has_ended() {
    let first = OpenTermsRow::next(None, None, leader(1, "a"));
    let second = OpenTermsRow::next(Some(first), Some(1), leader(2, "b"));
    let third = OpenTermsRow::next(Some(second), Some(2), leader(3, "a"));
    assert_eq!(former_terms(&third), [2]);
}

/// A leader of a version that does not know the row is not in it, and may act as long as any other.
#[test]
fn a_row_without_the_last_leader_is_incomplete_until_that_is_known_to_have_ended() {
    let first = OpenTermsRow::next(None, None, leader(1, "a"));
    let third = OpenTermsRow::next(Some(first), Some(2), leader(3, "c"));
    assert!(third.is_incomplete);
    let fourth = OpenTermsRow::next(Some(third), Some(3), leader(4, "d"));
    assert!(fourth.is_incomplete, "the wait of the third leader was not over");
    assert_eq!(former_terms(&fourth), [3]);
    assert!(OpenTermsRow::next(None, Some(7), leader(8, "a")).is_incomplete);
}
