//! The queue owner role: order, upper limit, attempts and journal of the owned teams.

mod accept;
mod attempt;
mod board;
mod commit;
mod dispatch;
mod enforce;
mod flow;
mod gang;
mod job;
mod record;
mod release;
mod settle;
mod takeover;
mod team;

use {
    crate::{NodeConfig, buffer::ActionBuffer, view::ClusterView},
    board::RackBoard,
    damaskrack_model::{CallId, ClockTime, Epoch, MemberName, RackName, Resources, TeamName},
    damaskrack_outside::{StoreError, StoreReply},
    damaskrack_ownership::{PieceName, TokenBucket},
    damaskrack_wire::{PeerMessage, TeamDigest},
    slotmap::new_key_type,
    std::collections::BTreeMap,
    team::{TeamPhase, TeamQueue},
};

new_key_type! {
    /// Row of a job.
    pub(crate) struct JobKey;
    /// Row of an attempt.
    pub(crate) struct AttemptKey;
}

/// Interval at which parked jobs are considered again, in milliseconds.
const PARKED_REVIEW_MS: u64 = 1_000;

/// What the systems of a team work with.
struct QueueContext<'a> {
    view: &'a ClusterView,
    config: &'a NodeConfig,
    out: &'a mut ActionBuffer,
    board: &'a mut RackBoard,
    budget: &'a mut TokenBucket,
}

/// Tables of every team that this daemon owns.
#[derive(Debug)]
pub(crate) struct QueueRole {
    teams: BTreeMap<TeamName, TeamQueue>,
    board: RackBoard,
    budget: TokenBucket,
    review_at: ClockTime,
}

impl QueueRole {
    pub(crate) fn new(config: &NodeConfig) -> Self {
        let writes = config.journal_writes_per_s;
        Self {
            teams: BTreeMap::new(),
            board: RackBoard::default(),
            budget: TokenBucket::new(writes, writes),
            review_at: ClockTime::default(),
        }
    }

    /// Takes a team under a new epoch.
    pub(crate) fn take(&mut self, team: &TeamName, epoch: Epoch) {
        self.teams.insert(team.clone(), TeamQueue::new(team.clone(), epoch));
    }

    /// Places nothing more for a team that is about to be released.
    pub(crate) fn freeze(&mut self, team: &TeamName) {
        if let Some(queue) = self.teams.get_mut(team) {
            queue.is_frozen = true;
        }
    }

    /// Goes on with a team whose release did not happen.
    pub(crate) fn thaw(&mut self, team: &TeamName) {
        if let Some(queue) = self.teams.get_mut(team) {
            queue.is_frozen = false;
        }
    }

    /// Tells whether everything that must last of a frozen team is in the store, and everything
    /// else has been given back or is certainly running.
    pub(crate) fn can_release(&self, team: &TeamName) -> bool {
        self.teams.get(team).is_none_or(|queue| {
            let is_loading = matches!(queue.phase, TeamPhase::Loading { .. });
            queue.journal.is_clean() && !is_loading && !release::has_unsettled(queue)
        })
    }

    /// Forgets a team that this daemon no longer owns. Entries ask its next owner.
    pub(crate) fn forget(&mut self, team: &TeamName) {
        self.teams.remove(team);
    }

    /// Handles a message that concerns a team's queues.
    pub(crate) fn on_message(
        &mut self,
        from: &MemberName,
        message: PeerMessage,
        view: &ClusterView,
        config: &NodeConfig,
        out: &mut ActionBuffer,
    ) {
        let Self { teams, board, budget, .. } = self;
        let context = &mut QueueContext { view, config, out, board, budget };
        match message {
            PeerMessage::Submit { call, team, order } => match teams.get_mut(&team) {
                Some(queue) => accept::on_submit(queue, from, call, order, context),
                None => refuse_call(from, call, order.copy, &team, context),
            },
            PeerMessage::JobQuery { call, job } => match teams.get_mut(&job.team) {
                Some(queue) => accept::on_query(queue, from, call, &job, context),
                None => refuse_call(from, call, 0, &job.team, context),
            },
            PeerMessage::JobCancel { call, job } => match teams.get_mut(&job.team) {
                Some(queue) => accept::on_cancel(queue, from, call, &job, context),
                None => refuse_call(from, call, 0, &job.team, context),
            },
            message => on_rack_message(teams, from, message, context),
        }
    }

    /// Takes the confirmation that an entry has answers.
    pub(crate) fn on_answer_acks(&mut self, calls: &[CallId]) {
        for queue in self.teams.values_mut() {
            for &call in calls {
                settle::on_answer_ack(queue, call);
            }
        }
    }

    /// Tells whether a store call belongs to a team's journal.
    pub(crate) fn owns_call(&self, call: u64) -> bool {
        self.teams
            .values()
            .any(|queue| queue.journal_call == call || takeover::is_loading_call(queue, call))
    }

    /// Takes the end of a store call.
    pub(crate) fn on_store(
        &mut self,
        call: u64,
        result: Result<StoreReply, StoreError>,
        view: &ClusterView,
        config: &NodeConfig,
        out: &mut ActionBuffer,
    ) {
        let Self { teams, board, budget, .. } = self;
        let context = &mut QueueContext { view, config, out, board, budget };
        for queue in teams.values_mut() {
            if takeover::is_loading_call(queue, call) {
                return takeover::on_loaded(queue, result, context);
            }
            if queue.journal_call == call {
                return commit::on_store(queue, result, context);
            }
        }
    }

    /// Takes note of a rack whose owner has changed.
    pub(crate) fn on_rack_moved(
        &mut self,
        rack: &RackName,
        view: &ClusterView,
        config: &NodeConfig,
        out: &mut ActionBuffer,
    ) {
        let Self { teams, board, budget, .. } = self;
        let context = &QueueContext { view, config, out, board, budget };
        for queue in teams.values_mut() {
            enforce::on_rack_moved(queue, rack, context);
        }
    }

    /// Runs the role's systems.
    pub(crate) fn tick(&mut self, view: &ClusterView, config: &NodeConfig, out: &mut ActionBuffer) {
        self.board.refresh(view);
        let is_review = view.now >= self.review_at;
        if is_review {
            self.review_at = view.now.plus(PARKED_REVIEW_MS);
        }
        let Self { teams, board, budget, .. } = self;
        let context = &mut QueueContext { view, config, out, board, budget };
        for queue in teams.values_mut() {
            run_systems(queue, is_review, context);
        }
    }

    /// Returns the demand of every owned team whose jobs are known.
    pub(crate) fn digests(&self, view: &ClusterView) -> Vec<TeamDigest> {
        self.teams
            .values()
            .filter(|queue| queue.knows_jobs())
            .map(|queue| TeamDigest {
                team: queue.team.clone(),
                running: queue.running,
                waiting: waiting_demand(queue, view),
            })
            .collect()
    }

    /// Returns the role's tables, as JSON for a person.
    pub(crate) fn dump(&self) -> serde_json::Value {
        self.teams.values().map(dump_team).collect()
    }
}

fn run_systems(queue: &mut TeamQueue, is_review: bool, context: &mut QueueContext<'_>) {
    commit::run(queue, context);
    takeover::run(queue, context);
    if !queue.knows_jobs() {
        return;
    }
    queue.flow.tick(context.view.now);
    accept::settle_accepted(queue, context);
    settle::settle_acks(queue, context);
    gang::expire_holds(queue, context);
    accept::expire(queue, context);
    enforce::stop_excess(queue, context);
    enforce::ask(queue, context);
    if is_review {
        dispatch::review_parked(queue, context);
        settle::forget_old(queue, context);
    }
    if queue.is_frozen {
        release::hand_back(queue, context);
    }
    dispatch::run(queue, context);
    commit::run(queue, context);
}

fn refuse_call(
    from: &MemberName,
    call: CallId,
    copy: u32,
    team: &TeamName,
    context: &mut QueueContext<'_>,
) {
    let owner = context.view.owner(&PieceName::Team(team.clone())).cloned();
    context.out.send(from, PeerMessage::NotOwner { call, copy, is_given_back: false, owner });
}

fn on_rack_message(
    teams: &mut BTreeMap<TeamName, TeamQueue>,
    from: &MemberName,
    message: PeerMessage,
    context: &mut QueueContext<'_>,
) {
    match message {
        PeerMessage::Placed { rack: _, verdicts } => {
            for (attempt, verdict) in verdicts {
                if let Some(queue) = teams.get_mut(&attempt.job.team) {
                    settle::on_placed(queue, vec![(attempt, verdict)], context);
                }
            }
        }
        PeerMessage::Phases { rack, epoch, rows } => {
            for row in rows {
                if let Some(queue) = teams.get_mut(&row.attempt.job.team) {
                    settle::on_phases(queue, &rack, epoch, vec![row], context);
                }
            }
        }
        PeerMessage::Ended { rack, notices } => {
            for notice in notices {
                if let Some(queue) = teams.get_mut(&notice.attempt.job.team) {
                    settle::on_ended(queue, &rack, notice, context);
                }
            }
        }
        PeerMessage::RollAnswer { team, epoch, rack, rows } => {
            let owner = context.view.owner(&PieceName::Rack(rack.clone()));
            if owner == Some(from)
                && let Some(queue) = teams.get_mut(&team)
            {
                takeover::on_roll_answer(queue, epoch, &rack, rows, context);
            }
        }
        _ => context.out.count("queue.unexpected_messages", 1),
    }
}

/// Returns what the waiting work would take, as far as the upper limit lets it run.
fn waiting_demand(queue: &TeamQueue, view: &ClusterView) -> Resources {
    let Some(team) = view.team(&queue.team) else { return Resources::ZERO };
    let room_tasks = u64::from(team.limit.tasks.saturating_sub(queue.running_tasks));
    let mut left = room_tasks;
    let mut sum = Resources::ZERO;
    for key in queue.ready.values() {
        let job = &queue.jobs[*key];
        let tasks = (job.queued.len() as u64).min(left);
        left -= tasks;
        let need = job.spec.resources.checked_mul(tasks).unwrap_or(Resources::ZERO);
        sum = sum.saturating_add(need);
        if left == 0 {
            break;
        }
    }
    let room = team.limit.resources.saturating_sub(queue.running);
    Resources {
        millicores: sum.millicores.min(room.millicores),
        memory_bytes: sum.memory_bytes.min(room.memory_bytes),
        accelerators: sum.accelerators.min(room.accelerators),
    }
}

fn dump_team(queue: &TeamQueue) -> serde_json::Value {
    let jobs: Vec<_> = queue
        .jobs
        .values()
        .map(|job| {
            serde_json::json!({
                "status": job.status(),
                "kind": job.spec.kind,
                "callers": job.callers.len(),
                "gang": job.gang,
                "intent_below": job.intent_below,
                "is_inherited": job.is_inherited,
            })
        })
        .collect();
    let attempts: Vec<_> = queue.attempts.values().collect();
    serde_json::json!({
        "team": queue.team,
        "epoch": queue.epoch,
        "phase": format!("{:?}", queue.phase),
        "is_frozen": queue.is_frozen,
        "running_tasks": queue.running_tasks,
        "running": queue.running,
        "journal": {
            "next_segment": queue.journal.next_number(),
            "pending_records": queue.journal.pending_len(),
            "segments_since_snapshot": queue.journal.segments_since_snapshot(),
        },
        "jobs": jobs,
        "attempts": attempts,
        "orphan_ends": queue.orphan_ends.len(),
        "unacknowledged_ends": queue.acks.len(),
    })
}
