//! Enforces a lowered upper limit on running tasks, and polls the status of attempts.

use {
    super::{
        AttemptKey, QueueContext,
        attempt::AttemptStage,
        completion::{self, STATUS_POLL_MS},
        team::{TeamPhase, TeamQueue},
    },
    damaskrack_manifest::TeamLimit,
    damaskrack_model::{AttemptId, RackName, Resources},
    damaskrack_ownership::PieceName,
    damaskrack_wire::PeerMessage,
    std::{cmp::Reverse, collections::BTreeMap},
};

/// Time to wait for a pending response of a rack's former owner, in milliseconds.
const FORMER_OWNER_RESPONSE_MS: u64 = 1_500;
/// Maximum number of attempts that are polled in one tick.
const MAX_STATUS_POLLS: usize = 512;

/// Stops attempts above the limit: idempotent ones first, the newest first among them.
pub(super) fn enforce_limit(queue: &mut TeamQueue, context: &mut QueueContext<'_>) {
    if !queue.knows_jobs() {
        return;
    }
    let none = TeamLimit { tasks: 0, resources: Resources::ZERO };
    let limit = context.view.team(&queue.team).map_or(none, |team| team.limit);
    if queue.running_tasks <= limit.tasks && limit.resources.covers(queue.running) {
        return;
    }
    let excess = select_excess(queue, limit);
    if excess.is_empty() {
        return;
    }
    context.out.count("queue.limit_stops", excess.len() as u64);
    completion::stop_attempts(queue, &excess, context);
}

fn select_excess(queue: &TeamQueue, limit: TeamLimit) -> Vec<AttemptKey> {
    let mut tasks = queue.running_tasks;
    let mut running = queue.running;
    let mut rows: Vec<_> = queue.attempts.iter().collect();
    rows.sort_by_key(|(_, row)| {
        (row.stopping_at.is_none(), !row.idempotent, Reverse(row.sequence))
    });
    let mut excess = Vec::new();
    for (key, row) in rows {
        if tasks <= limit.tasks && limit.resources.covers(running) {
            break;
        }
        tasks -= 1;
        running = running.saturating_sub(row.resources);
        if row.stopping_at.is_none() {
            excess.push(key);
        }
    }
    excess
}

/// Polls the racks of attempts whose status poll is due, and repeats stop requests.
pub(super) fn poll_attempts(queue: &mut TeamQueue, context: &mut QueueContext<'_>) {
    if matches!(queue.phase, TeamPhase::Loading { .. } | TeamPhase::Fencing | TeamPhase::Fenced) {
        return;
    }
    let now = context.view.now;
    let due: Vec<AttemptKey> = queue
        .status_polls
        .iter()
        .take_while(|(at, _)| *at <= now)
        .take(MAX_STATUS_POLLS)
        .map(|(_, key)| *key)
        .collect();
    let mut inquiries: BTreeMap<RackName, Vec<AttemptId>> = BTreeMap::new();
    let mut stops = Vec::new();
    for key in due {
        queue.schedule_status_poll(key, Some(now.plus(STATUS_POLL_MS)));
        let attempt = &queue.attempts[key];
        if attempt.stopping_at.is_some() {
            stops.push(key);
        }
        inquiries.entry(attempt.rack.clone()).or_default().push(attempt.id.clone());
    }
    completion::stop_attempts(queue, &stops, context);
    for (rack, attempts) in inquiries {
        let (team, epoch) = (queue.team.clone(), queue.epoch);
        if let Some(owner) = context.view.owner(&PieceName::Rack(rack.clone())) {
            context.out.send(owner, PeerMessage::Inquire { team, epoch, rack, attempts });
        }
    }
}

/// Schedules status polls for the attempts in a rack whose owner has changed. The new owner knows
/// the attempts that it found there; one whose worker was lost is found nowhere.
///
/// The former owner's response to an attempt in flight may still arrive. Only that response can
/// prove that the attempt never started, so the poll of such an attempt is delayed.
pub(super) fn on_rack_moved(queue: &mut TeamQueue, rack: &RackName, context: &QueueContext<'_>) {
    let now = context.view.now;
    let moved: Vec<(AttemptKey, AttemptStage)> = queue
        .attempts
        .iter()
        .filter(|(_, row)| row.rack == *rack && row.stage != AttemptStage::Held)
        .map(|(key, row)| (key, row.stage))
        .collect();
    for (key, stage) in moved {
        let delay_ms = if stage == AttemptStage::Placing { FORMER_OWNER_RESPONSE_MS } else { 0 };
        queue.schedule_status_poll(key, Some(now.plus(delay_ms)));
    }
}
