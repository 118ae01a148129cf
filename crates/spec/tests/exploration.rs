//! Checks that the protocol violates no property and that removing any one mechanism leads to a
//! violation.
//!
//! Explorations of one machine run one after another to limit the use of memory.

use damaskrack_spec::{
    ExplorationOutcome, MachineName, Mutation, OpenStartsMachine, SpecMachine, explore,
};

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
fn open_starts_need_each_mechanism() {
    check(MachineName::OpenStarts);
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

/// A state of the machine `open_starts`.
type OpenStarts = <OpenStartsMachine as SpecMachine>::State;
/// A step of the machine `open_starts`.
type OpenStartsStep = <OpenStartsMachine as SpecMachine>::Step;

/// The machine `open_starts`, explored for a state of interest instead of a violation.
#[derive(Debug)]
struct OpenStartsSearch {
    machine: OpenStartsMachine,
    /// The worker never responds.
    is_silent: bool,
    is_wanted: fn(&OpenStartsMachine, &OpenStarts) -> bool,
}

impl OpenStartsSearch {
    /// Returns whether the machine reaches a state of interest.
    fn reaches(self) -> bool {
        let outcome = explore(&self);
        print_outcome(MachineName::OpenStarts, &[], &outcome);
        outcome.counterexample.is_some()
    }
}

impl SpecMachine for OpenStartsSearch {
    type State = OpenStarts;
    type Step = OpenStartsStep;

    fn new(removed: &[Mutation]) -> Self {
        let machine = OpenStartsMachine::new(removed);
        Self { machine, is_silent: false, is_wanted: |_, _| false }
    }

    fn bounds(&self) -> &'static str {
        self.machine.bounds()
    }

    fn initial(&self) -> OpenStarts {
        self.machine.initial()
    }

    fn successors(&self, state: &OpenStarts) -> Vec<(Self::Step, OpenStarts)> {
        let mut successors = self.machine.successors(state);
        let has_response = |step: &Self::Step| {
            matches!(
                step,
                OpenStartsStep::Renew(true)
                    | OpenStartsStep::Stop(true)
                    | OpenStartsStep::Deliver(_, true)
            )
        };
        successors.retain(|(step, _)| !self.is_silent || !has_response(step));
        successors
    }

    fn violation(&self, state: &OpenStarts) -> Option<&'static str> {
        (self.is_wanted)(&self.machine, state).then_some("the state of interest")
    }
}

#[test]
fn a_task_whose_worker_is_gone_starts_elsewhere_while_its_start_is_open() {
    let is_wanted = |_: &OpenStartsMachine, state: &OpenStarts| {
        state.runs_elsewhere() && state.is_worker_gone() && state.has_open_start()
    };
    assert!(OpenStartsSearch { is_wanted, ..OpenStartsSearch::new(&[]) }.reaches());
}

#[test]
fn a_task_whose_worker_is_silent_starts_elsewhere_in_the_end() {
    let is_wanted = |_: &OpenStartsMachine, state: &OpenStarts| {
        state.runs_elsewhere() && state.was_placed() && !state.is_worker_gone()
    };
    let search = OpenStartsSearch { is_silent: true, is_wanted, ..OpenStartsSearch::new(&[]) };
    assert!(search.reaches());
}

#[test]
fn no_task_waits_for_a_worker_that_is_gone_once_its_leases_have_expired() {
    let is_wanted = |machine: &OpenStartsMachine, state: &OpenStarts| {
        let starts_elsewhere = |state: &OpenStarts| {
            machine.successors(state).iter().any(|(_, next)| next.runs_elsewhere())
        };
        // The first step releases the attempt.
        let is_movable = starts_elsewhere(state)
            || machine.successors(state).iter().any(|(_, next)| starts_elsewhere(next));
        state.is_worker_gone() && state.must_restart() && !state.runs_elsewhere() && !is_movable
    };
    assert!(!OpenStartsSearch { is_wanted, ..OpenStartsSearch::new(&[]) }.reaches());
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
