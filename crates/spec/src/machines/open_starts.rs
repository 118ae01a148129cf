//! Model of start requests without a ticket whose responses are missing, to a worker that restarts under
//! its id.
//!
//! Nothing in such a request names the incarnation that it was meant for. It is carried out at any time
//! within the delay by the incarnation that is there, unless that has accepted a higher fence. The leader
//! may run the task elsewhere meanwhile, which would run it twice. Renewals and stops are carried out when
//! they are sent; the machine `incarnations` has late renewals.

use crate::{Mutation, SpecMachine};

/// Number of incarnations of the worker.
const INCARNATIONS: u8 = 3;
/// Number of leaders.
const LEADERS: u8 = 2;
/// Longest time from the sending of a start to its execution, in units of time.
const DELAY: u8 = 2;
/// Duration of the longest lease that the worker grants, in units of time. The leader asks for as much.
const LEASE: u8 = 2;
/// Time for which a former leader acts, in units of time.
const ISOLATION: u8 = 2;
/// Largest number of start requests to the worker.
const MAX_STARTS: u8 = 2;
/// Fences of a leader are above all of the one before.
const TERM_FENCES: u8 = 8;

/// A start request in flight to the worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OpenStart {
    fence: u8,
    attempt: u8,
    /// Incarnation that the start was meant for. Its deadline is a time on that one's clock.
    incarnation: u8,
    /// Time until the deadline.
    lease: u8,
    /// Time within which it is carried out or lost.
    left: u8,
}

/// An attempt of the task on the worker, as the leader knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct WorkerAttempt {
    number: u8,
    /// Incarnation that the attempt was placed on.
    incarnation: u8,
    /// The worker has started it.
    is_confirmed: bool,
    /// The worker has acknowledged its stop.
    is_stopped: bool,
    /// Copies of the start that are still to be sent.
    unsent: u8,
}

/// Restriction of the task to the worker while starts there may still be carried out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct TaskBinding {
    /// Highest fence of these starts.
    fence: u8,
    /// Number of starts, in all leaders since the task was last free.
    starts: u8,
    /// Number of starts that the row does not have.
    unwritten: u8,
    /// Number of starts that have had a response.
    answered: u8,
    /// Time within which one may be carried out.
    left: u8,
    /// Time that a run begun by one can last after that without a response.
    lease: u8,
}

/// What the leader knows.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct LeaderView {
    fence: u8,
    incarnation: u8,
    /// The incarnation has accepted the fence.
    is_fenced: bool,
    /// Its last response since a start was sent listed no run.
    is_empty: bool,
    /// Time after which the leases that the leader knows of have expired.
    lease: u8,
    last_attempt: u8,
    attempt: Option<WorkerAttempt>,
    binding: Option<TaskBinding>,
    is_done: bool,
}

/// The worker.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct StartWorker {
    incarnation: u8,
    is_up: bool,
    is_listed: bool,
    fence: u8,
    lease: u8,
    running: Option<u8>,
    /// Highest attempt that was stopped or has ended.
    closed_attempt: u8,
    /// An end `done` that has not been acknowledged.
    has_ended: bool,
}

/// The task's row in the store.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
struct TaskRow {
    /// Number and incarnation of the attempt.
    attempt: Option<(u8, u8)>,
    incarnation: u8,
    last_attempt: u8,
    /// Number of starts in the binding; zero if there is none.
    starts: u8,
    is_done: bool,
}

/// A former leader that does not know that it was replaced.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct FormerLeader {
    left: u8,
    fence: u8,
    /// Its attempt, of which a start is still to be sent.
    attempt: WorkerAttempt,
}

/// State of the leader, the worker, the store and the requests in flight.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct OpenStartsState {
    leader: u8,
    view: LeaderView,
    row: TaskRow,
    former: Option<FormerLeader>,
    worker: StartWorker,
    starts: Vec<OpenStart>,
    planned_starts: u8,
    /// The task runs on another worker.
    runs_elsewhere: bool,
    /// An end `done` was acknowledged.
    is_acknowledged: bool,
    violation: Option<&'static str>,
}

/// A step of the model of open starts.
#[derive(Debug, Clone, Copy)]
pub enum OpenStartsStep {
    /// A unit of time passes.
    Tick,
    /// The worker restarts under its id.
    Restart,
    /// The worker ends for good and its entry is removed.
    Leave,
    /// A worker whose entry was removed starts again under its id.
    Return,
    /// The task's run on the worker ends `done`.
    End,
    /// The leader writes the row of an attempt on the worker.
    Place,
    /// The leader decides to repeat the start.
    Repeat,
    /// The leader sends a start.
    Send,
    /// A former leader sends a start.
    SendFormer,
    /// A start is carried out, with or without a response to the leader.
    Deliver(OpenStart, bool),
    /// The leader chooses a higher fence for the worker.
    RaiseFence,
    /// The leader renews the leases and reads the list of runs, with or without a response.
    Renew(bool),
    /// The leader stops the attempt, with or without a response.
    Stop(bool),
    /// The leader releases the attempt, as its leases have expired.
    Lapse,
    /// The leader acknowledges the end that it has read.
    Acknowledge,
    /// The leader starts the task on another worker.
    PlaceElsewhere,
    /// The next leader is elected and reads the row.
    Lead,
}

/// Model of starts without a ticket that a later incarnation carries out.
#[derive(Debug)]
pub struct OpenStartsMachine {
    removed: Vec<Mutation>,
}

impl OpenStartsState {
    /// Returns whether the task runs on another worker.
    #[must_use]
    pub fn runs_elsewhere(&self) -> bool {
        self.runs_elsewhere
    }

    /// Returns whether the worker's entry has been removed.
    #[must_use]
    pub fn is_worker_gone(&self) -> bool {
        !self.worker.is_listed
    }

    /// Returns whether a start to the worker may still be carried out.
    #[must_use]
    pub fn has_open_start(&self) -> bool {
        !self.starts.is_empty()
    }

    /// Returns whether the task has been placed on the worker.
    #[must_use]
    pub fn was_placed(&self) -> bool {
        self.planned_starts > 0
    }

    /// Returns whether the task has not ended and its leases on the worker have expired.
    #[must_use]
    pub fn must_restart(&self) -> bool {
        self.view.lease == 0 && !self.view.is_done
    }
}

impl OpenStartsMachine {
    fn has(&self, mutation: Mutation) -> bool {
        !self.removed.contains(&mutation)
    }

    fn may_place(&self, state: &OpenStartsState) -> bool {
        let view = &state.view;
        let is_above = view.binding.is_none_or(|binding| view.fence > binding.fence);
        let is_fenced = view.is_fenced && is_above;
        let is_free = view.attempt.is_none() && !view.is_done && !state.runs_elsewhere;
        let is_known = view.is_empty && (is_fenced || !self.has(Mutation::FencesBeforeStart));
        is_free && is_known && state.planned_starts < MAX_STARTS && state.worker.is_listed
    }

    fn may_place_elsewhere(&self, state: &OpenStartsState) -> bool {
        let view = &state.view;
        let is_bound = view.binding.is_some() && self.has(Mutation::BindsTask);
        let is_free = view.attempt.is_none() && !view.is_done && !state.runs_elsewhere;
        is_free && (!is_bound || !state.worker.is_listed)
    }

    fn leader_steps(&self, state: &OpenStartsState) -> Vec<OpenStartsStep> {
        let view = &state.view;
        if state.runs_elsewhere || state.is_acknowledged {
            return Vec::new();
        }
        let mut steps = Vec::new();
        if state.worker.is_up {
            steps.extend([OpenStartsStep::Renew(true), OpenStartsStep::Renew(false)]);
        }
        if self.may_place(state) {
            steps.push(OpenStartsStep::Place);
        }
        if self.may_place_elsewhere(state) {
            steps.push(OpenStartsStep::PlaceElsewhere);
        }
        if let Some(attempt) = view.attempt {
            if !attempt.is_stopped {
                steps.extend([OpenStartsStep::Stop(true), OpenStartsStep::Stop(false)]);
            }
            let may_repeat = !attempt.is_stopped && !attempt.is_confirmed;
            if attempt.unsent > 0 {
                steps.push(OpenStartsStep::Send);
            } else if may_repeat && state.planned_starts < MAX_STARTS {
                steps.push(OpenStartsStep::Repeat);
            }
            if view.lease == 0 {
                steps.push(OpenStartsStep::Lapse);
            }
        }
        if view.binding.is_some_and(|binding| binding.fence == view.fence) {
            steps.push(OpenStartsStep::RaiseFence);
        }
        let is_over = view.binding.is_none() || !self.has(Mutation::EndAfterOpenStarts);
        if view.is_done && is_over && !state.is_acknowledged {
            steps.push(OpenStartsStep::Acknowledge);
        }
        if state.leader + 1 < LEADERS {
            steps.push(OpenStartsStep::Lead);
        }
        steps
    }

    fn steps(&self, state: &OpenStartsState) -> Vec<OpenStartsStep> {
        let worker = &state.worker;
        let mut steps = self.leader_steps(state);
        steps.push(OpenStartsStep::Tick);
        let has_next = worker.incarnation + 1 < INCARNATIONS;
        if worker.is_up {
            steps.push(OpenStartsStep::Leave);
            steps.extend(has_next.then_some(OpenStartsStep::Restart));
            steps.extend(worker.running.map(|_| OpenStartsStep::End));
        } else if has_next && !self.has(Mutation::GoneForGood) {
            steps.push(OpenStartsStep::Return);
        }
        if state.former.is_some() {
            steps.push(OpenStartsStep::SendFormer);
        }
        for &start in &state.starts {
            if worker.is_up {
                steps.push(OpenStartsStep::Deliver(start, true));
                steps.push(OpenStartsStep::Deliver(start, false));
            }
        }
        steps
    }

    fn apply(&self, state: &mut OpenStartsState, step: OpenStartsStep) {
        match step {
            OpenStartsStep::Tick => self.tick(state),
            OpenStartsStep::Restart | OpenStartsStep::Return => {
                state.worker = StartWorker::new(state.worker.incarnation + 1);
            }
            OpenStartsStep::Leave => {
                let ended = StartWorker::new(state.worker.incarnation);
                state.worker = StartWorker { is_up: false, is_listed: false, ..ended };
            }
            OpenStartsStep::End => {
                state.worker.end_run();
                state.worker.has_ended = true;
            }
            OpenStartsStep::Place => place(state),
            OpenStartsStep::Repeat => self.repeat(state),
            OpenStartsStep::Send => send(state),
            OpenStartsStep::SendFormer => send_former(state),
            OpenStartsStep::Deliver(start, is_answered) => {
                self.deliver(state, start, is_answered);
            }
            OpenStartsStep::RaiseFence => {
                state.view.fence += 1;
                state.view.is_fenced = false;
            }
            OpenStartsStep::Renew(is_answered) => renew(state, is_answered),
            OpenStartsStep::Stop(is_answered) => stop(state, is_answered),
            OpenStartsStep::Lapse => state.view.attempt = None,
            OpenStartsStep::Acknowledge => {
                let worker = &mut state.worker;
                let is_same = worker.incarnation == state.view.incarnation && worker.is_up;
                state.is_acknowledged = is_same && std::mem::take(&mut worker.has_ended);
            }
            OpenStartsStep::PlaceElsewhere => {
                state.runs_elsewhere = true;
                if state.worker.running.is_some() {
                    state.violation = Some("a task that is started elsewhere runs");
                }
            }
            OpenStartsStep::Lead => self.lead(state),
        }
        if !matches!(step, OpenStartsStep::Lead) {
            store(state);
        }
    }

    fn tick(&self, state: &mut OpenStartsState) {
        let worker = &mut state.worker;
        worker.lease = worker.lease.saturating_sub(1);
        if worker.lease == 0 {
            // An end that is acknowledged after a lapse does not count.
            worker.has_ended = false;
            worker.end_run();
        }
        for start in &mut state.starts {
            start.left -= 1;
            start.lease = start.lease.saturating_sub(1);
        }
        state.starts.retain(|start| start.left > 0);
        state.starts.sort_unstable();
        if let Some(former) = &mut state.former {
            former.left -= 1;
        }
        state.former = state.former.take().filter(|former| former.left > 0);
        let view = &mut state.view;
        view.lease = view.lease.saturating_sub(1);
        // The time counts from the last sending.
        let has_unsent = view.attempt.is_some_and(|attempt| attempt.unsent > 0);
        if let Some(binding) = view.binding.as_mut().filter(|_| !has_unsent) {
            if binding.left > 0 {
                binding.left -= 1;
            } else {
                binding.lease = binding.lease.saturating_sub(1);
            }
            let is_over = binding.lease == 0 || !self.has(Mutation::WaitsForResponseAfterDelay);
            if binding.left == 0 && is_over {
                view.binding = None;
            }
        }
    }

    fn repeat(&self, state: &mut OpenStartsState) {
        state.planned_starts += 1;
        let view = &mut state.view;
        let unwritten = u8::from(!self.has(Mutation::DurableRepeat));
        view.attempt.iter_mut().for_each(|attempt| attempt.unsent = 1);
        bind(view, unwritten);
    }

    fn deliver(&self, state: &mut OpenStartsState, start: OpenStart, is_answered: bool) {
        remove_start(state, start);
        let is_started = self.start(state, start);
        let view = &mut state.view;
        if !is_answered || start.fence / TERM_FENCES != view.fence / TERM_FENCES {
            return;
        }
        // Nothing tells which incarnation has responded. A start that is refused extends leases, too.
        view.lease = LEASE;
        if is_started {
            view.is_empty = false;
            let attempt = view.attempt.get_or_insert(WorkerAttempt {
                number: start.attempt,
                incarnation: start.incarnation,
                is_confirmed: true,
                is_stopped: false,
                unsent: 0,
            });
            if attempt.number != start.attempt {
                return;
            }
            attempt.is_confirmed = true;
        }
        if let Some(binding) = &mut view.binding {
            binding.answered += 1;
            if binding.answered == binding.starts {
                view.binding = None;
                view.attempt = view.attempt.filter(|attempt| attempt.is_confirmed);
            }
        }
    }

    /// Lets the worker carry out a start; returns whether the attempt is running then.
    fn start(&self, state: &mut OpenStartsState, start: OpenStart) -> bool {
        let worker = &mut state.worker;
        let is_own = start.incarnation == worker.incarnation;
        if start.fence < worker.fence || (is_own && start.lease == 0) {
            return false;
        }
        worker.fence = start.fence;
        // A deadline on the clock of another incarnation is far away.
        worker.lease = worker.lease.max(if is_own { start.lease } else { LEASE });
        if worker.running == Some(start.attempt) {
            return true;
        }
        if start.attempt <= worker.closed_attempt {
            return false;
        }
        if worker.running.is_some() {
            if is_own || !self.has(Mutation::OneRunAfterRestart) {
                state.violation = Some("a worker runs two attempts of a task");
            }
            return false;
        }
        worker.running = Some(start.attempt);
        if state.runs_elsewhere {
            state.violation = Some("a task that runs elsewhere starts");
        }
        if state.is_acknowledged {
            state.violation = Some("a task starts after its end was acknowledged");
        }
        true
    }

    fn lead(&self, state: &mut OpenStartsState) {
        state.leader += 1;
        let (view, row) = (&mut state.view, &state.row);
        let unsent = view.attempt.filter(|attempt| attempt.unsent > 0);
        state.former =
            unsent.map(|attempt| FormerLeader { left: ISOLATION, fence: view.fence, attempt });
        let isolation = if self.has(Mutation::DelayAfterIsolation) { ISOLATION } else { 0 };
        let is_bound = row.starts > 0 && self.has(Mutation::RowCarriesBinding);
        let binding = TaskBinding {
            fence: view.fence,
            starts: row.starts,
            unwritten: 0,
            answered: 0,
            left: DELAY + isolation,
            lease: LEASE,
        };
        let attempt = row.attempt.map(|(number, incarnation)| WorkerAttempt {
            number,
            incarnation,
            is_confirmed: row.starts == 0,
            is_stopped: false,
            unsent: 0,
        });
        *view = LeaderView {
            fence: state.leader * TERM_FENCES,
            incarnation: row.incarnation,
            is_fenced: false,
            is_empty: false,
            lease: LEASE + ISOLATION,
            last_attempt: row.last_attempt,
            attempt,
            binding: is_bound.then_some(binding),
            is_done: row.is_done,
        };
    }
}

impl StartWorker {
    fn new(incarnation: u8) -> Self {
        Self {
            incarnation,
            is_up: true,
            is_listed: true,
            fence: 0,
            lease: 0,
            running: None,
            closed_attempt: 0,
            has_ended: false,
        }
    }

    fn end_run(&mut self) {
        if let Some(attempt) = self.running.take() {
            self.closed_attempt = self.closed_attempt.max(attempt);
        }
    }

    /// Carries out a renewal; returns whether its fence was accepted.
    fn renew(&mut self, fence: u8) -> bool {
        if !self.is_up || fence < self.fence {
            return false;
        }
        self.fence = fence;
        self.lease = LEASE;
        true
    }
}

/// Binds the task to the worker for another start, which the row may not have.
fn bind(view: &mut LeaderView, unwritten: u8) {
    let former = view.binding;
    view.binding = Some(TaskBinding {
        fence: view.fence,
        starts: former.map_or(0, |binding| binding.starts) + 1,
        unwritten: former.map_or(0, |binding| binding.unwritten) + unwritten,
        answered: former.map_or(0, |binding| binding.answered),
        // A former leader may still send one later than this leader.
        left: former.map_or(0, |binding| binding.left).max(DELAY),
        lease: LEASE,
    });
}

fn place(state: &mut OpenStartsState) {
    state.planned_starts += 1;
    let view = &mut state.view;
    view.last_attempt += 1;
    view.attempt = Some(WorkerAttempt {
        number: view.last_attempt,
        incarnation: view.incarnation,
        is_confirmed: false,
        is_stopped: false,
        unsent: 1,
    });
    bind(view, 0);
}

fn send(state: &mut OpenStartsState) {
    let view = &mut state.view;
    let Some(attempt) = &mut view.attempt else { return };
    attempt.unsent -= 1;
    view.lease = LEASE;
    view.is_empty = false;
    if let Some(binding) = &mut view.binding {
        binding.fence = view.fence;
        binding.left = binding.left.max(DELAY);
        binding.lease = LEASE;
    }
    let (attempt, fence) = (*attempt, view.fence);
    push_start(state, attempt, fence);
}

fn send_former(state: &mut OpenStartsState) {
    let Some(former) = state.former.take() else { return };
    push_start(state, former.attempt, former.fence);
}

fn push_start(state: &mut OpenStartsState, attempt: WorkerAttempt, fence: u8) {
    let (number, incarnation) = (attempt.number, attempt.incarnation);
    state.starts.push(OpenStart { fence, attempt: number, incarnation, lease: LEASE, left: DELAY });
    state.starts.sort_unstable();
}

fn remove_start(state: &mut OpenStartsState, start: OpenStart) {
    if let Some(index) = state.starts.iter().position(|other| *other == start) {
        state.starts.remove(index);
    }
}

fn renew(state: &mut OpenStartsState, is_answered: bool) {
    let view = &mut state.view;
    view.lease = LEASE;
    if let Some(binding) = &mut view.binding {
        binding.lease = LEASE;
    }
    if state.worker.renew(view.fence) && is_answered {
        respond(state);
    }
}

/// Applies the worker's response to a renewal.
fn respond(state: &mut OpenStartsState) {
    let (view, worker) = (&mut state.view, &state.worker);
    let is_same = view.incarnation == worker.incarnation;
    view.incarnation = worker.incarnation;
    view.is_fenced = is_same;
    view.fence += u8::from(!is_same);
    view.is_empty = worker.running.is_none();
    view.is_done |= worker.has_ended;
    // No start can be carried out any more, or the only one has been.
    let is_listed = worker.running.is_some() || worker.has_ended;
    let is_open = |binding: &TaskBinding| binding.left > 0 && (!is_listed || binding.starts > 1);
    view.binding = view.binding.filter(is_open);
    match worker.running {
        Some(number) => {
            let listed = WorkerAttempt {
                number,
                incarnation: worker.incarnation,
                is_confirmed: true,
                is_stopped: false,
                unsent: 0,
            };
            let is_other = |attempt: WorkerAttempt| attempt.number != number && !attempt.is_stopped;
            if !view.attempt.is_some_and(is_other) {
                view.attempt = Some(listed);
            }
        }
        None => {
            let is_open = |attempt: &WorkerAttempt| {
                is_same && !attempt.is_confirmed && !attempt.is_stopped && view.binding.is_some()
            };
            view.attempt = view.attempt.filter(is_open).filter(|_| !view.is_done);
        }
    }
}

fn stop(state: &mut OpenStartsState, is_answered: bool) {
    let (view, worker) = (&mut state.view, &mut state.worker);
    let Some(attempt) = view.attempt else { return };
    if !worker.is_up || view.fence < worker.fence {
        return;
    }
    worker.fence = view.fence;
    if worker.running == Some(attempt.number) {
        worker.end_run();
    }
    worker.closed_attempt = worker.closed_attempt.max(attempt.number);
    if is_answered {
        view.attempt = Some(WorkerAttempt { is_stopped: true, unsent: 0, ..attempt });
    }
}

/// Writes what the leader knows to the row.
fn store(state: &mut OpenStartsState) {
    let view = &state.view;
    state.row = TaskRow {
        attempt: view.attempt.map(|attempt| (attempt.number, attempt.incarnation)),
        incarnation: view.incarnation,
        last_attempt: view.last_attempt,
        starts: view.binding.map_or(0, |binding| binding.starts - binding.unwritten),
        is_done: view.is_done,
    };
}

impl SpecMachine for OpenStartsMachine {
    type State = OpenStartsState;
    type Step = OpenStartsStep;

    fn new(removed: &[Mutation]) -> Self {
        Self { removed: removed.to_vec() }
    }

    fn bounds(&self) -> &'static str {
        "2 leaders, 1 worker with 3 incarnations and another one, 1 task, 2 starts, late or lost, unbounded time"
    }

    fn initial(&self) -> OpenStartsState {
        OpenStartsState {
            leader: 0,
            view: LeaderView {
                fence: 0,
                incarnation: 0,
                is_fenced: true,
                is_empty: true,
                lease: 0,
                last_attempt: 0,
                attempt: None,
                binding: None,
                is_done: false,
            },
            row: TaskRow::default(),
            former: None,
            worker: StartWorker::new(0),
            starts: Vec::new(),
            planned_starts: 0,
            runs_elsewhere: false,
            is_acknowledged: false,
            violation: None,
        }
    }

    fn successors(&self, state: &OpenStartsState) -> Vec<(OpenStartsStep, OpenStartsState)> {
        let successor = |step| {
            let mut next = state.clone();
            self.apply(&mut next, step);
            (step, next)
        };
        self.steps(state).into_iter().map(successor).collect()
    }

    fn violation(&self, state: &OpenStartsState) -> Option<&'static str> {
        state.violation
    }
}
