//! `damaskrack local`.

use {crate::support::run_tool, serde_json::Value};

#[test]
fn once_prints_the_responses_to_a_request_and_a_gang() {
    let run = run_tool(&["local", "--once"], &[]);
    assert_eq!(run.code, Some(0), "{run:?}");
    let report: Value = serde_json::from_str(&run.stdout).unwrap();
    assert_eq!(report["manifest_version"], 1);
    assert_eq!(report["request"]["outcome"], "done");
    assert_eq!(report["request"]["detail"], "echo:vessel Galeb");
    assert_eq!(report["gang"]["status"]["done"], 4);
    assert_eq!(report["gang"]["status"]["outcome"], "done");
}
