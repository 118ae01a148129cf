//! Returns unstarted work to its entries before a team is released.
//!
//! Work that is neither journalled nor started is known only to this owner. If it were dropped,
//! the next owner could not tell it from work that was started and lost. Returning it states that
//! it had no effect here, so its entry may submit it to the next owner as new work.

use {
    super::{JobKey, QueueContext, attempt::AttemptStage, job::JobEntry, team::TeamQueue},
    damaskrack_wire::PeerMessage,
};

/// Returns whether a frozen team still has attempts that may or may not run, or jobs to return.
pub(super) fn has_unresolved_work(queue: &TeamQueue) -> bool {
    let is_unplaced = |stage| matches!(stage, AttemptStage::Placing | AttemptStage::Held);
    queue.attempts.values().any(|attempt| is_unplaced(attempt.stage))
        || queue.jobs.values().any(is_returnable)
}

/// Returns whether neither a worker nor the journal can know a job.
fn is_returnable(job: &JobEntry) -> bool {
    let is_untouched = job.counts.waiting == job.spec.tasks && job.attempted.is_empty();
    !job.is_journalled && !job.is_inherited && is_untouched
}

/// Returns unstarted, unjournalled jobs to their entries.
pub(super) fn return_unstarted_jobs(queue: &mut TeamQueue, context: &mut QueueContext<'_>) {
    let returnable: Vec<JobKey> =
        queue.jobs.iter().filter(|(_, job)| is_returnable(job)).map(|(key, _)| key).collect();
    for key in returnable {
        let job = &mut queue.jobs[key];
        let copy = job.copy;
        let nonce = job.id.nonce;
        for (member, call) in std::mem::take(&mut job.callers) {
            let message = PeerMessage::NotOwner { call, copy, is_given_back: true, owner: None };
            context.out.send(&member, message);
        }
        context.out.count("queue.handed_back", 1);
        queue.returned.insert(nonce, copy);
        queue.remove_job(key);
    }
}
