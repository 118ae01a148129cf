//! The real rules violate nothing, and each mechanism is missed when it is removed.
//!
//! Explorations of one machine run one after the other, which bounds the memory.

use damaskrack_spec::{MachineName, Mutation, Verdict};

/// Fewest states that show that a machine is explored at all.
const MIN_STATES: usize = 1_000;

fn print_verdict(machine: MachineName, removed: &[Mutation], verdict: &Verdict) {
    println!("{machine} without {removed:?}: {} states", verdict.states);
    if let Some(example) = &verdict.counterexample {
        println!("  {}", example.property);
        example.steps.iter().for_each(|step| println!("    {step}"));
    }
}

fn assert_clean(machine: MachineName, removed: &[Mutation]) {
    let verdict = machine.explore(removed);
    print_verdict(machine, removed, &verdict);
    assert!(verdict.states > MIN_STATES, "{machine} has {} states only", verdict.states);
    assert_eq!(verdict.counterexample, None, "{machine} without {removed:?}");
}

fn assert_missed(machine: MachineName, removed: &[Mutation]) {
    let verdict = machine.explore(removed);
    print_verdict(machine, removed, &verdict);
    assert!(verdict.counterexample.is_some(), "{machine} does not miss {removed:?}");
}

fn check(machine: MachineName) {
    println!("{machine}: {}", machine.explore(&[Mutation::of(machine)[0]]).bounds);
    for &mutation in Mutation::of(machine) {
        assert_missed(machine, &[mutation]);
    }
    assert_clean(machine, &[]);
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
