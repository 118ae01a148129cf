//! Gives work back to its entries before a team is released.
//!
//! Work that is neither journalled nor started is known to nobody else. If it were just forgotten,
//! the next owner could not tell it from work that was started and lost. Giving it back says that
//! it had no effect here, so its entry may hand it to the next owner as new.

use {
    super::{JobKey, QueueContext, attempt::AttemptStage, job::JobEntry, team::TeamQueue},
    damaskrack_wire::PeerMessage,
};

/// Tells whether a frozen team still has work of which it is not certain whether it runs, or work
/// that is to be given back.
pub(super) fn has_unresolved_work(queue: &TeamQueue) -> bool {
    let is_unplaced = |stage| matches!(stage, AttemptStage::Placing | AttemptStage::Held);
    queue.attempts.values().any(|attempt| is_unplaced(attempt.stage))
        || queue.jobs.values().any(is_returnable)
}

/// Tells whether a job is certainly unknown to any worker and to the journal.
fn is_returnable(job: &JobEntry) -> bool {
    let is_untouched = job.counts.waiting == job.spec.tasks && job.attempted.is_empty();
    !job.is_journalled && !job.is_inherited && is_untouched
}

/// Gives such jobs back.
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
