//! Checks that the protocol violates no property and that removing any one mechanism leads to a
//! violation.
//!
//! Explorations of one machine run one after another to limit the use of memory.

use damaskrack_spec::{ExplorationOutcome, MachineName, Mutation};

/// A complete exploration visits more states than this; fewer mean that it explored nothing.
const MIN_STATES: usize = 1_000;

fn print_outcome(machine: MachineName, removed: &[Mutation], outcome: &ExplorationOutcome) {
    println!("{machine} without {removed:?}: {} states", outcome.states);
    if let Some(example) = &outcome.counterexample {
        println!("  {}", example.property);
        example.steps.iter().for_each(|step| println!("    {step}"));
    }
}

fn assert_no_violation(machine: MachineName, removed: &[Mutation]) {
    let outcome = machine.explore(removed);
    print_outcome(machine, removed, &outcome);
    assert!(outcome.states > MIN_STATES, "{machine} has {} states only", outcome.states);
    assert_eq!(outcome.counterexample, None, "{machine} without {removed:?}");
}

fn assert_violation(machine: MachineName, removed: &[Mutation]) {
    let outcome = machine.explore(removed);
    print_outcome(machine, removed, &outcome);
    assert!(outcome.counterexample.is_some(), "{machine} finds no violation without {removed:?}");
}

fn check(machine: MachineName) {
    println!("{machine}: {}", machine.explore(&[Mutation::of(machine)[0]]).bounds);
    for &mutation in Mutation::of(machine) {
        assert_violation(machine, &[mutation]);
    }
    assert_no_violation(machine, &[]);
}

#[test]
fn ownership_needs_each_mechanism() {
    check(MachineName::Ownership);
}

#[test]
fn leadership_needs_each_mechanism() {
    check(MachineName::Leadership);
}

#[test]
fn lease_bounds_need_each_mechanism() {
    check(MachineName::LeaseBounds);
}

#[test]
fn incarnations_need_each_mechanism() {
    check(MachineName::Incarnations);
}

#[test]
fn rack_takeover_needs_each_mechanism() {
    check(MachineName::RackTakeover);
}

#[test]
fn team_takeover_needs_each_mechanism() {
    check(MachineName::TeamTakeover);
}

#[test]
fn journal_needs_each_mechanism() {
    check(MachineName::Journal);
}

#[test]
fn manifest_change_needs_each_mechanism() {
    check(MachineName::ManifestChange);
}

#[test]
fn resubmission_needs_each_mechanism() {
    check(MachineName::Resubmission);
}

#[test]
fn isolation_needs_each_mechanism() {
    check(MachineName::Isolation);
}

#[test]
fn names_are_read_back() {
    for machine in MachineName::ALL {
        assert_eq!(machine.as_str().parse(), Ok(machine));
        for &mutation in Mutation::of(machine) {
            assert_eq!(mutation.to_string().parse(), Ok(mutation));
            assert_eq!(mutation.machine(), machine);
        }
    }
    assert!("nothing".parse::<MachineName>().is_err());
    assert!("nothing".parse::<Mutation>().is_err());
}
