//! Exhaustive breadth-first exploration of a state machine.

use {
    crate::Mutation,
    pathfinding::directed::bfs::{bfs, bfs_reach},
    std::{fmt::Debug, hash::Hash},
};

/// A state machine whose environment is bounded.
pub trait SpecMachine {
    /// A state; it contains everything that later states depend on.
    type State: Debug + Clone + Eq + Hash;
    /// An event that leads from one state to another.
    type Step: Debug;

    /// Creates the machine without the mechanisms in `removed`.
    fn new(removed: &[Mutation]) -> Self;

    /// Describes the bounds of the exploration.
    fn bounds(&self) -> &'static str;

    /// Returns the initial state.
    fn initial(&self) -> Self::State;

    /// Returns every possible next state with the step that leads to it.
    fn successors(&self, state: &Self::State) -> Vec<(Self::Step, Self::State)>;

    /// Returns the property that a state violates, if any.
    fn violation(&self, state: &Self::State) -> Option<&'static str>;
}

/// A shortest sequence of steps that leads to a violation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Counterexample {
    /// The violated property.
    pub property: &'static str,
    /// The steps from the initial state, in order.
    pub steps: Vec<String>,
    /// The state that violates the property.
    pub state: String,
}

/// Outcome of an exploration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ExplorationOutcome {
    /// Description of the bounds.
    pub bounds: &'static str,
    /// Number of states visited, up to and including the first violation.
    pub states: usize,
    /// The first violation, if any.
    pub counterexample: Option<Counterexample>,
}

/// Visits every reachable state of a machine breadth first and stops at the first violation.
///
/// # Examples
///
/// ```
/// use damaskrack_spec::{ManifestMachine, SpecMachine, explore};
///
/// let outcome = explore(&ManifestMachine::new(&[]));
/// assert_eq!(outcome.counterexample, None);
/// assert!(outcome.states > 100);
/// ```
pub fn explore<M: SpecMachine>(machine: &M) -> ExplorationOutcome {
    let next = |state: &M::State| {
        machine.successors(state).into_iter().map(|(_, next)| next).collect::<Vec<_>>()
    };
    let mut states = 0;
    let is_violated = bfs_reach(machine.initial(), next).any(|state| {
        states += 1;
        machine.violation(&state).is_some()
    });
    let counterexample = is_violated.then(|| shortest_counterexample(machine)).flatten();
    ExplorationOutcome { bounds: machine.bounds(), states, counterexample }
}

fn shortest_counterexample<M: SpecMachine>(machine: &M) -> Option<Counterexample> {
    let next = |state: &M::State| {
        machine.successors(state).into_iter().map(|(_, next)| next).collect::<Vec<_>>()
    };
    let path = bfs(&machine.initial(), next, |state| machine.violation(state).is_some())?;
    let steps = path.windows(2).map(|pair| describe_step(machine, &pair[0], &pair[1])).collect();
    let last = path.last()?;
    let property = machine.violation(last)?;
    Some(Counterexample { property, steps, state: format!("{last:?}") })
}

fn describe_step<M: SpecMachine>(machine: &M, from: &M::State, to: &M::State) -> String {
    let step = machine.successors(from).into_iter().find(|(_, next)| next == to);
    step.map(|(step, _)| format!("{step:?}")).unwrap_or_default()
}
