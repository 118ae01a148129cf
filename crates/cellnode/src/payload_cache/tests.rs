//! Tests of the payload cache.

use super::{MAX_PAYLOADS, PayloadCache, job_of_task};

#[test]
fn the_oldest_payload_is_forgotten_first() {
    let mut cache = PayloadCache::<&str>::default();
    for job in 0..=MAX_PAYLOADS {
        cache.insert(&job.to_string(), "payload");
        cache.insert("0", "payload");
    }
    assert!(cache.get("1").is_some() != cache.get("0").is_some());
    assert!(cache.get(&MAX_PAYLOADS.to_string()).is_some());
}

#[test]
fn a_task_names_its_job() {
    assert_eq!(job_of_task("5c0e7a21d94b36f8.0.1.17"), "5c0e7a21d94b36f8");
    assert_eq!(job_of_task(""), "");
}
