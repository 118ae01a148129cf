//! Tests of the scenario language: accepted lines and positions of errors.

#![allow(clippy::unwrap_used)] // A panic in a helper fails the test.

use damaskrack_scenario::{RunOptions, ScenarioScript, ScriptError, run_script};

const PREAMBLE: &str = "team a share=2 tasks=5\nkey k team=a\nqueue q team=a\n";

fn error_of(line: &str) -> ScriptError {
    ScenarioScript::parse(&format!("{PREAMBLE}{line}\n")).unwrap_err()
}

#[track_caller]
fn assert_error(line: &str, column: usize, reason: &str) {
    let error = error_of(line);
    assert_eq!((error.line, error.column), (4, column), "{line}: {error}");
    assert!(error.reason.contains(reason), "{line}: {error}");
}

#[test]
fn a_wrong_script_names_line_column_and_reason() {
    assert_error("frobnicate 7", 1, "unknown directive");
    assert_error("at 2 kill node-1", 4, "expected a duration");
    assert_error("at 2s kill", 11, "expected a target");
    assert_error("at 2s kill node-x", 12, "expected node-N");
    assert_error("at 2s kill node-1 now", 19, "unexpected now");
    assert_error("at 2s pause owner-of crew/a", 22, "team/NAME or rack/NAME");
    assert_error("at 2s store vanishes", 13, "down, slow or loses");
    assert_error("at 2s store loses 0%", 19, "percentage");
    assert_error("at 2s cut node-1 => node-2", 18, "-> or <->");
    assert_error("at 1s request queue=nowhere", 21, "not declared");
    assert_error("at 1s request queue=q run=fast", 27, "expected a duration");
    assert_error("at 1s request queue=q tasks=4", 23, "unknown setting");
    assert_error("every 0s to 3s kill node-1", 10, "expected from");
    assert_error("expect answers some >= 3", 16, "expected done");
    assert_error("expect answers done > 3", 21, "expected >=");
    assert_error("key k2 team=b", 13, "not declared");
    assert_error("seeds 9..3", 7, "empty");
    assert_error("random-faults from 1s to 2s every 1s longest 1s of kill,boredom", 57, "boredom");
}

#[test]
fn columns_count_characters_not_bytes() {
    let error = ScenarioScript::parse("run 5s # ž\nteam žito\n").unwrap_err();
    assert_eq!((error.line, error.column), (2, 6));
    let error = ScenarioScript::parse("run\u{1}5s\n").unwrap_err();
    assert_eq!((error.line, error.column), (1, 4));
}

#[test]
fn every_kind_of_line_is_read() {
    let lines = "\
cell nodes=8 zones=3 racks=6 workers-per-rack=2 millicores=8000 memory=16g accelerators=1 slots=4 host-lag=2s latency=1ms jitter=1ms
bounds key=5s zone=5s leaving=5s config=7s limit=9s
seeds 1..20
run 2m
processes
at 1s job queue=q kind=gang tasks=4 run=2s tag=x accelerators=1 priority=urgent deadline=9s via=owner-of:team/a
every 100ms from 1s to 3s request queue=q key=none idempotent=no idempotency-key=yes retries=3 fails=yes count=2
at 1s cancel x
at 1s zone zone-1 out via=node-2
at 1s withdraw k
at 1s grant k2 a
at 1s limit a tasks=3
at 1s share a 9
at 1s shutdown node-1 for 3s
at 1s cut node-1,worker-2 <-> store,node-2 for 3s
at 1s silence node-1 -> node-2
at 1s store slow by 300ms for 2s
at 1s leave worker-1 for 4s
at 1s slow any-worker by 300ms for 4s
at 1s hosts down for 4s
random-faults from 1s to 9s every 2s longest 2s of kill,pause,cut,zone,limit
expect answers all of x <= 3 by 9s
expect jobs-ended of x by 9s
expect jobs-parked of x
expect starts of x = 0
expect takeover < 10s
expect start-delay of x < 4s
expect changes-accepted >= 2
expect exit < 20s
";
    let script = ScenarioScript::parse(&format!("{PREAMBLE}{lines}")).unwrap();
    assert_eq!(script.seeds(), (1, 20));
    assert!(script.needs_processes());
}

#[test]
fn the_same_seed_gives_the_same_verdict() {
    let text = format!(
        "{PREAMBLE}cell nodes=3 racks=2\nrun 15s\n\
         every 200ms from 3s to 9s request queue=q run=80ms retries=3\n\
         random-faults from 3s to 9s every 1s longest 2s of kill,pause,cut,store-loses,freeze\n"
    );
    let script = ScenarioScript::parse(&text).unwrap();
    let options = RunOptions { keeps_dumps: true, ..RunOptions::default() };
    let first = run_script(&script, 11, &options);
    assert_eq!(first, run_script(&script, 11, &options));
    assert!(first.figures.faults > 0);
}
