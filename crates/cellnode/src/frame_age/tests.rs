//! Tests of the detection of delayed frames.

use {super::FrameAge, quickcheck::quickcheck};

#[test]
fn a_frame_that_waited_while_the_host_stood_still_is_old() {
    let age = FrameAge::default();
    assert_eq!(age.delay_ms(1_000, 500_003), 0);
    assert_eq!(age.delay_ms(1_400, 500_402), 0);
    assert_eq!(age.delay_ms(1_500, 503_510), 3_008);
}

quickcheck! {
    fn any_times_give_a_delay(times: Vec<(u64, u64)>) -> bool {
        let age = FrameAge::default();
        times.iter().all(|(sent_ms, now_ms)| age.delay_ms(*sent_ms, *now_ms) <= i64::MAX as u64)
    }
}
