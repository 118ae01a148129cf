//! Tests of the numbers of requests.

use {super::RequestNumber, quickcheck::quickcheck};

quickcheck! {
    /// Also if the same daemon leads again, which it does in another term.
    fn only_the_leader_of_its_term_can_read_a_number(term: u64, other: u64, number: u64) -> bool {
        let read = RequestNumber::new(term, number).in_term(other);
        read == (term == other).then_some(number)
    }
}

#[test]
fn a_number_without_contents_is_of_no_term() {
    assert_eq!(RequestNumber::default().in_term(1), None);
}
