//! Tests of the bound on submissions that are being decided on.

use super::{SMALL_BYTES, SubmissionSpace};

/// Guards against a crowd of submissions with many steps that takes all memory before any is decided on.
#[test]
fn large_submissions_leave_space_to_small_ones() {
    let space = SubmissionSpace::new(8 * SMALL_BYTES);
    let large: Vec<_> = (0..10).map_while(|_| space.take(2 * SMALL_BYTES)).collect();
    assert_eq!(large.len(), 3);
    let small: Vec<_> = (0..10).map_while(|_| space.take(SMALL_BYTES)).collect();
    assert_eq!(small.len(), 2);
    drop(large);
    assert!(space.take(2 * SMALL_BYTES).is_some());
}
