//! Whether a step waits for a better worker than those that are free.
//!
//! A task runs faster near its data, with its gang in one rack, and on a fast worker. A wait for such a
//! place costs time, and the place may become free later than expected or go to another step. So the
//! wait is weighed against the gain, and has a bound that does not depend on what is expected next:
//! a part of the gain and of the slack, counted from when the step could first have started. Nobody waits
//! for a task that has run longer than estimates explain, as it may be one of those that run many times as long.

use crate::WaitPolicy;

/// Minimum gain that callers notice, in milliseconds. A start takes about half of this.
const MIN_GAIN_MS: f64 = 100.0;
/// Minimum gain as a part of the run time. Speeds are learned from estimates that are wrong by 20 % and
/// more, so smaller differences may be chance.
const MIN_GAIN_SHARE: f64 = 0.25;
/// Part of the gain up to which a step waits. A wait in vain costs less than it might have gained.
const MAX_GAIN_SHARE: f64 = 0.75;
/// Part of the slack up to which a step waits that would end in time without. The rest is left for errors of
/// the estimates.
const SAFE_SLACK_SHARE: f64 = 0.5;
/// Part of the slack up to which a step waits that would end late without, so that it can only win. The rest is
/// left for errors of the estimates there.
const LATE_SLACK_SHARE: f64 = 0.9;
/// Factor by which a step waits longer than it expects, within the bound. Tasks that run half as long again as
/// expected are usual.
const LATENESS_FACTOR: f64 = 1.5;
/// Time from the end of a task to a start in its place, in milliseconds: the worker's response and a commit.
const HANDOVER_MS: f64 = 30.0;

/// Time that is left until a step has to end, on the worker where it starts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct TimeLeft {
    /// Time until the step has to end for its job to meet its objective, in milliseconds.
    pub(super) objective_ms: f64,
    /// Time until it has to end for its job to be of any use, in milliseconds.
    pub(super) useful_ms: f64,
}

/// A step that could start now.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct StartCase {
    /// Run time if it starts now, in milliseconds.
    pub(super) run_ms: f64,
    /// Time since it could first have started, in milliseconds.
    pub(super) waited_ms: f64,
    pub(super) left: TimeLeft,
    /// Duration of a call to the adviser, in milliseconds; 0 if there is none.
    pub(super) call_ms: f64,
    /// Time for which the step may still start without such a call, in milliseconds.
    pub(super) ticket_ms: f64,
}

/// When a place becomes free.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum Opening {
    /// It is expected to be free after this time, in milliseconds.
    After(f64),
    /// A task there runs longer than expected or without an end, so nothing is known.
    Unknown,
}

/// A place where the step would run faster.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct BetterPlace<P> {
    pub(super) place: P,
    /// Run time there, in milliseconds.
    pub(super) run_ms: f64,
    pub(super) opening: Opening,
    /// The step needs a response of the adviser before it may start there.
    pub(super) needs_call: bool,
    /// Probability that the adviser allows the place.
    pub(super) chance: f64,
}

/// What a step does that could start now.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum StartDecision<P> {
    /// It starts.
    StartNow,
    /// It waits for a place.
    Wait {
        /// That place.
        place: P,
        /// For how long, in milliseconds.
        wait_ms: f64,
    },
}

/// Decides whether a step waits for a better worker.
#[derive(Debug, Clone, Copy)]
pub(super) struct PlaceWait {
    policy: WaitPolicy,
}

impl Opening {
    /// Returns the opening of a place that is expected to be free after some time, in milliseconds; infinity
    /// if that is not known.
    pub(super) fn of(free_ms: f64) -> Self {
        if free_ms.is_finite() { Self::After(free_ms) } else { Self::Unknown }
    }

    /// Returns the time after which the place is expected to be free, in milliseconds; 0 if that is not known.
    pub(super) fn free_ms(self) -> f64 {
        match self {
            Self::After(free_ms) => free_ms,
            Self::Unknown => 0.0,
        }
    }
}

impl TimeLeft {
    /// Returns for how long a step that has waited for some time may wait in all, if it could start a run of
    /// `run_ms` now and waits for one of `better_ms`; 0 if nothing is left to lose or gain.
    fn max_wait_ms(&self, run_ms: f64, better_ms: f64, waited_ms: f64) -> f64 {
        let runs = [(run_ms, SAFE_SLACK_SHARE), (better_ms, LATE_SLACK_SHARE)];
        let limits = [self.objective_ms, self.useful_ms].into_iter();
        let mut waits = limits.filter_map(|limit_ms| {
            let (ms, share) = runs.into_iter().find(|(ms, _)| *ms <= limit_ms)?;
            // What was left when the step could first have started.
            Some((limit_ms - ms + waited_ms) * share)
        });
        waits.next().unwrap_or(0.0)
    }
}

impl StartCase {
    /// Returns whether a run time is better than the present one by what callers notice.
    pub(super) fn is_better(&self, run_ms: f64) -> bool {
        self.run_ms - run_ms >= MIN_GAIN_MS.max(self.run_ms * MIN_GAIN_SHARE)
    }

    /// Returns how long the step may still wait for a place, in milliseconds.
    fn bound_ms<P>(&self, place: &BetterPlace<P>) -> f64 {
        let gain_ms = (self.run_ms - place.run_ms) * place.chance;
        let max_ms = self.left.max_wait_ms(self.run_ms, place.run_ms, self.waited_ms);
        (gain_ms * MAX_GAIN_SHARE).min(max_ms) - self.waited_ms
    }

    /// Returns whether the step may wait for a place so long. If its tickets expire meanwhile, it has to ask
    /// the adviser once more when it has waited in vain.
    fn may_wait<P>(&self, place: &BetterPlace<P>, delay_ms: f64) -> bool {
        let call_ms = if delay_ms > self.ticket_ms { self.call_ms } else { 0.0 };
        delay_ms + call_ms <= self.bound_ms(place)
    }

    /// Returns the time after which the step is expected to start in a place, if that can be told, in
    /// milliseconds.
    fn delay_ms<P>(&self, place: &BetterPlace<P>) -> Option<f64> {
        let Opening::After(free_ms) = place.opening else { return None };
        let call_ms = if place.needs_call { self.call_ms } else { 0.0 };
        Some(free_ms.max(call_ms) + HANDOVER_MS)
    }
}

impl PlaceWait {
    pub(super) fn new(policy: WaitPolicy) -> Self {
        Self { policy }
    }

    /// Decides whether a step that could start now waits for one of some places.
    pub(super) fn decide<P: Clone>(
        &self,
        case: &StartCase,
        places: &[BetterPlace<P>],
    ) -> StartDecision<P> {
        let better = places.iter().filter(|place| case.is_better(place.run_ms));
        let chosen = match self.policy {
            WaitPolicy::Off => None,
            WaitPolicy::Fixed { wait_ms } => {
                let left_ms = wait_ms as f64 - case.waited_ms;
                let best = better.min_by(|a, b| a.run_ms.total_cmp(&b.run_ms));
                best.filter(|_| left_ms > 0.0).map(|place| (place, left_ms))
            }
            WaitPolicy::Decided => earliest_end(case, better),
        };
        chosen.map_or(StartDecision::StartNow, |(place, wait_ms)| StartDecision::Wait {
            place: place.place.clone(),
            wait_ms,
        })
    }
}

/// Returns the place in which the step is expected to end first, of those for which it may wait, and how long
/// it waits for it.
fn earliest_end<'a, P>(
    case: &StartCase,
    places: impl Iterator<Item = &'a BetterPlace<P>>,
) -> Option<(&'a BetterPlace<P>, f64)> {
    let delayed = places.filter_map(|place| Some((place, case.delay_ms(place)?)));
    let allowed = delayed.filter(|(place, delay_ms)| case.may_wait(place, *delay_ms));
    let first = allowed.min_by(|a, b| (a.1 + a.0.run_ms).total_cmp(&(b.1 + b.0.run_ms)));
    first.map(|(place, delay_ms)| {
        let wait_ms = delay_ms * LATENESS_FACTOR;
        (place, wait_ms.min(case.bound_ms(place)))
    })
}

#[cfg(test)]
mod tests {
    use super::{
        BetterPlace, Opening, PlaceWait, SAFE_SLACK_SHARE, StartCase, StartDecision, TimeLeft,
        WaitPolicy,
    };

    const DECIDED: PlaceWait = PlaceWait { policy: WaitPolicy::Decided };

    /// Returns a step that runs for 3 s where it could start now, with 4 s left at first.
    fn case(waited_ms: f64) -> StartCase {
        let objective_ms = 4_000.0 - waited_ms;
        let left = TimeLeft { objective_ms, useful_ms: objective_ms + 8_000.0 };
        StartCase { run_ms: 3_000.0, waited_ms, left, call_ms: 400.0, ticket_ms: 1_500.0 }
    }

    /// Returns a place where the step runs for 1 s.
    fn place(free_ms: f64) -> BetterPlace<&'static str> {
        let opening = Opening::After(free_ms);
        BetterPlace { place: "w1", run_ms: 1_000.0, opening, needs_call: false, chance: 1.0 }
    }

    fn waits(case: &StartCase, place: BetterPlace<&'static str>) -> bool {
        DECIDED.decide(case, &[place]) != StartDecision::StartNow
    }

    /// Guards against waits that cost more than they gain, and bets on what is not known.
    #[test]
    fn a_step_waits_only_for_a_place_that_is_free_soon_enough() {
        assert!(waits(&case(0.0), place(300.0)));
        assert!(!waits(&case(0.0), place(900.0)));
        assert!(!waits(&case(0.0), BetterPlace { opening: Opening::Unknown, ..place(0.0) }));
        assert!(!waits(&case(0.0), BetterPlace { run_ms: 2_600.0, ..place(0.0) }));
    }

    /// Guards against calls to the adviser that are not counted, and against hopes for a refusal.
    #[test]
    fn a_place_without_a_ticket_is_worth_less() {
        let slow = StartCase { call_ms: 1_200.0, ..case(0.0) };
        let expiring = StartCase { ticket_ms: 200.0, ..case(0.0) };
        assert!(waits(&expiring, place(50.0)) && !waits(&expiring, place(250.0)));
        let unknown = BetterPlace { needs_call: true, ..place(0.0) };
        assert!(waits(&case(0.0), unknown.clone()) && !waits(&slow, unknown.clone()));
        assert!(!waits(&case(0.0), BetterPlace { chance: 0.2, ..unknown }));
    }

    /// Guards against a step that would end in time and is made late by a wait.
    #[test]
    fn the_slack_bounds_the_wait() {
        let left = |objective_ms| TimeLeft { objective_ms, useful_ms: 24_000.0 };
        let with_left = |ms| StartCase { left: left(ms), ..case(0.0) };
        assert!(waits(&with_left(5_000.0), place(300.0)));
        assert!(!waits(&with_left(3_100.0), place(300.0)), "it is in time only if it starts");
        assert!(waits(&with_left(2_900.0), place(300.0)), "it is in time only there");
        let nothing_left = TimeLeft { objective_ms: 0.0, useful_ms: 0.0 };
        assert!(!waits(&StartCase { left: nothing_left, ..case(0.0) }, place(300.0)));
    }

    /// Guards against starvation: whatever becomes of the places, all waits together keep the bound.
    #[test]
    fn repeated_waits_end_at_the_bound() {
        for policy in [WaitPolicy::Decided, WaitPolicy::Fixed { wait_ms: 1_000 }] {
            let (mut waited_ms, mut ends) = (0.0, false);
            for _ in 0..1_000 {
                match (PlaceWait { policy }).decide(&case(waited_ms), &[place(100.0)]) {
                    StartDecision::Wait { wait_ms, .. } => waited_ms += wait_ms,
                    StartDecision::StartNow => ends = true,
                }
            }
            let bound_ms = match policy {
                WaitPolicy::Decided => 1_000.0 * SAFE_SLACK_SHARE,
                _ => 1_000.0,
            };
            assert!(ends && waited_ms <= bound_ms, "{policy:?} waits {waited_ms} ms");
        }
    }
}
