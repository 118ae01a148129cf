//! Checks that the protocol violates no property and that removing any one mechanism leads to a
//! violation.
//!
//! Explorations of one machine run one after another to limit the use of memory.

use damaskrack_spec::{
    ExplorationOutcome, MachineName, Mutation, OpenStartsMachine, SpecMachine, TicketsMachine,
    explore,
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
fn tickets_need_each_mechanism() {
    check(MachineName::Tickets);
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

/// A machine explored for a state of interest instead of a violation.
#[derive(Debug)]
struct StateSearch<M: SpecMachine> {
    name: MachineName,
    machine: M,
    /// Whether a step may be taken.
    is_possible: fn(&M::Step) -> bool,
    is_wanted: fn(&M, &M::State) -> bool,
}

impl<M: SpecMachine> StateSearch<M> {
    /// Returns whether the machine reaches a state of interest.
    fn reaches(self) -> bool {
        let outcome = explore(&self);
        print_outcome(self.name, &[], &outcome);
        outcome.counterexample.is_some()
    }
}

impl<M: SpecMachine> SpecMachine for StateSearch<M> {
    type State = M::State;
    type Step = M::Step;

    fn new(removed: &[Mutation]) -> Self {
        Self {
            name: MachineName::OpenStarts,
            machine: M::new(removed),
            is_possible: |_| true,
            is_wanted: |_, _| false,
        }
    }

    fn bounds(&self) -> &'static str {
        self.machine.bounds()
    }

    fn initial(&self) -> M::State {
        self.machine.initial()
    }

    fn successors(&self, state: &M::State) -> Vec<(M::Step, M::State)> {
        let mut successors = self.machine.successors(state);
        successors.retain(|(step, _)| (self.is_possible)(step));
        successors
    }

    fn violation(&self, state: &M::State) -> Option<&'static str> {
        (self.is_wanted)(&self.machine, state).then_some("the state of interest")
    }
}

/// A state of the machine `open_starts`.
type OpenStarts = <OpenStartsMachine as SpecMachine>::State;
/// A step of the machine `open_starts`.
type OpenStartsStep = <OpenStartsMachine as SpecMachine>::Step;
/// A search of the machine `open_starts`.
type OpenStartsSearch = StateSearch<OpenStartsMachine>;

/// Returns whether a step has no response of the worker.
fn is_silent_open_start(step: &OpenStartsStep) -> bool {
    !matches!(
        step,
        OpenStartsStep::Renew(true) | OpenStartsStep::Stop(true) | OpenStartsStep::Deliver(_, true)
    )
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
    let is_possible = is_silent_open_start;
    let search = OpenStartsSearch { is_possible, is_wanted, ..OpenStartsSearch::new(&[]) };
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

/// A state of the machine `tickets`.
type Tickets = <TicketsMachine as SpecMachine>::State;
/// A step of the machine `tickets`.
type TicketsStep = <TicketsMachine as SpecMachine>::Step;
/// A search of the machine `tickets`.
type TicketsSearch = StateSearch<TicketsMachine>;

/// Guards against a task that waits for ever for a worker that is lost with an unidentified start.
#[test]
fn an_unidentified_start_of_a_silent_worker_is_released_in_the_end() {
    let search = TicketsSearch {
        name: MachineName::Tickets,
        is_possible: |step| !matches!(step, TicketsStep::Respond | TicketsStep::Deliver(_, true)),
        is_wanted: |_, state: &Tickets| state.runs_elsewhere(),
        ..TicketsSearch::new(&[])
    };
    assert!(search.reaches());
}

/// Guards against identified starts that wait as long as unidentified ones.
#[test]
fn an_identified_start_is_released_once_the_lease_that_was_asked_for_is_over() {
    let search = TicketsSearch {
        name: MachineName::Tickets,
        is_possible: |step| !matches!(step, TicketsStep::Restart),
        is_wanted: |_, state: &Tickets| state.runs_elsewhere() && state.ticks() == 1,
        ..TicketsSearch::new(&[])
    };
    assert!(search.reaches());
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
