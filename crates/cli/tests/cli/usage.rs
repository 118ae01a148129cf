//! Command-line parsing: help, completions and usage errors.

use crate::support::run_tool;

#[test]
fn help_lists_commands_and_exit_codes() {
    let run = run_tool(&["--help"], &[]);
    assert_eq!(run.code, Some(0));
    for word in
        ["local", "manifest", "key", "submit", "job", "cancel", "explain", "state", "completions"]
    {
        assert!(run.stdout.contains(word), "{word}");
    }
    assert!(run.stdout.contains("5  no daemon could be reached"));
}

#[test]
fn help_never_shows_a_key() {
    let run = run_tool(&["submit", "--help"], &[("DAMASKRACK_KEY", "office.s3cret")]);
    assert!(run.stdout.contains("DAMASKRACK_KEY"));
    assert!(!run.stdout.contains("s3cret"));
}

#[test]
fn wrong_arguments_are_usage_errors() {
    let cases: [&[&str]; 11] = [
        &[],
        &["no-such-command"],
        &["submit"],
        &["submit", "a b"],
        &["submit", "checks", "--kind", "cron"],
        &["submit", "checks", "--memory", "5parsecs"],
        &["submit", "checks", "--memory", "99999999999GiB"],
        &["job", "no-job-id"],
        &["key", "new", "office"],
        &["key", "new", "office", "--team", "harbour", "--operator"],
        &["state", "--operator-address", "entry-1:7201"],
    ];
    for args in cases {
        let run = run_tool(args, &[]);
        assert_eq!(run.code, Some(2), "{args:?} {run:?}");
    }
}

#[test]
fn a_missing_file_is_a_usage_error() {
    for args in [
        ["manifest", "check", "/no/such/file"],
        ["submit", "checks", "--payload-file=/no/such/file"],
    ] {
        let run = run_tool(&args, &[]);
        assert_eq!(run.code, Some(2), "{run:?}");
        assert!(run.stderr.contains("/no/such/file") && run.stderr.contains("try: "), "{run:?}");
    }
}

#[test]
fn a_key_that_http_cannot_carry_is_a_usage_error() {
    let run = run_tool(&["submit", "checks", "--key", "office.\n"], &[]);
    assert_eq!(run.code, Some(2), "{run:?}");
    assert!(!run.stderr.contains("office."), "{run:?}");
}

#[test]
fn completions_exist_for_each_shell() {
    for shell in ["bash", "zsh", "fish", "elvish", "powershell"] {
        let run = run_tool(&["completions", shell], &[]);
        assert_eq!(run.code, Some(0));
        assert!(run.stdout.contains("damaskrack"), "{shell}");
    }
}
