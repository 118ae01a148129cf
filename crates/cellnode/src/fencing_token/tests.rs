//! Tests of the order of terms and tokens, also with leaders of the version before.

use super::{fencing_token, next_term};

/// Terms of the version before, whose tokens are the terms themselves.
fn next_former_term(former: u64) -> u64 {
    former + 1
}

#[test]
fn tokens_of_a_term_rise_and_never_exceed_it() {
    let term = next_term(0);
    assert!(fencing_token(term, 0) < fencing_token(term, 1));
    assert_eq!(fencing_token(term, u32::MAX), term);
}

/// Daemons are replaced one by one, or the version before is started again.
#[test]
fn tokens_rise_when_leaders_of_two_versions_alternate() {
    let former = next_former_term(6);
    let term = next_term(former);
    assert!(fencing_token(term, 0) > former);
    let older = next_former_term(term);
    assert!(older > fencing_token(term, u32::MAX));
    let later = next_term(older);
    assert!(fencing_token(later, 0) > older);
}
