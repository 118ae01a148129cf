//! Exhaustive exploration of a state machine.

use {
    crate::Mutation,
    pathfinding::directed::bfs::{bfs, bfs_reach},
    std::{fmt::Debug, hash::Hash},
};

/// A state machine with bounded surroundings.
pub trait SpecMachine {
    /// Everything that the future depends on.
    type State: Debug + Clone + Eq + Hash;
    /// What happens between two states.
    type Step: Debug;

    /// Makes the machine without the mechanisms in `removed`.
    fn new(removed: &[Mutation]) -> Self;

    /// Tells what is bounded and by how much.
    fn bounds(&self) -> &'static str;

    /// Returns the state at the start.
    fn initial(&self) -> Self::State;

    /// Returns every state that can come next, with what leads to it.
    fn successors(&self, state: &Self::State) -> Vec<(Self::Step, Self::State)>;

    /// Returns the property that a state violates, if any.
    fn violation(&self, state: &Self::State) -> Option<&'static str>;
}

/// A shortest way to a violation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Counterexample {
    /// The violated property.
    pub property: &'static str,
    /// What happens, in order.
    pub steps: Vec<String>,
    /// The state that violates it.
    pub state: String,
}

/// What an exploration found.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ExplorationOutcome {
    /// What was bounded.
    pub bounds: &'static str,
    /// Number of states that were visited, up to the first violation.
    pub states: usize,
    /// The first violation, if any.
    pub counterexample: Option<Counterexample>,
}

/// Visits every state of a machine, nearest first, and stops at the first violation.
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
