//! Sends verdicts, phases, responses to roll calls and notices of ended attempts to queue owners.

use {
    super::{AttemptKey, LocalPhase, RackTable, TrackedAttempt},
    crate::{buffer::ActionBuffer, view::ClusterView},
    damaskrack_model::{ClockTime, MemberName, TeamName},
    damaskrack_ownership::{MemberStanding, PieceName},
    damaskrack_wire::{EndedNotice, PeerMessage},
    std::collections::BTreeMap,
};

/// Interval at which the notice of an unacknowledged end is repeated, in milliseconds.
const REPEAT_MS: u64 = 500;

/// Interval at which unacknowledged ends are checked for a change of their queue owner, in
/// milliseconds.
const SCAN_INTERVAL_MS: u64 = 100;

/// Maximum number of notices in a message.
const MAX_NOTICES: usize = 128;

/// Sends the queued verdicts and phases.
pub(crate) fn send_verdicts(rack: &mut RackTable, out: &mut ActionBuffer) {
    for (member, verdicts) in std::mem::take(&mut rack.verdicts) {
        out.send(&member, PeerMessage::Placed { rack: rack.name.clone(), verdicts });
    }
    for (member, rows) in std::mem::take(&mut rack.phases) {
        out.send(&member, PeerMessage::Phases { rack: rack.name.clone(), epoch: rack.epoch, rows });
    }
}

/// Responds to roll calls once the rack is rebuilt. There is no response for a rack that another
/// daemon may own by now, because the table may be out of date.
pub(crate) fn answer_roll_calls(rack: &mut RackTable, view: &ClusterView, out: &mut ActionBuffer) {
    let may_answer =
        !rack.is_rebuilding && !rack.is_fenced && view.standing != MemberStanding::Isolated;
    if !may_answer {
        return;
    }
    for (team, call) in std::mem::take(&mut rack.roll_calls) {
        let rows = rack
            .attempts
            .values()
            .filter(|attempt| *attempt.team() == team)
            .map(TrackedAttempt::row)
            .collect();
        let answer =
            PeerMessage::RollAnswer { team, epoch: call.epoch, rack: rack.name.clone(), rows };
        out.send(&call.requester, answer);
    }
}

/// Notifies queue owners of ended attempts that they have not acknowledged.
pub(crate) fn send_notices(rack: &mut RackTable, view: &ClusterView, out: &mut ActionBuffer) {
    if rack.is_fenced || view.now < rack.next_notice_at {
        return;
    }
    rack.next_notice_at = view.now.plus(SCAN_INTERVAL_MS);
    let mut owners: BTreeMap<TeamName, Option<MemberName>> = BTreeMap::new();
    let mut notices: BTreeMap<MemberName, Vec<EndedNotice>> = BTreeMap::new();
    let keys: Vec<AttemptKey> = rack.keys_where(TrackedAttempt::is_ended);
    for key in keys {
        let Some(attempt) = rack.attempts.get_mut(key) else { continue };
        let owner = owners
            .entry(attempt.team().clone())
            .or_insert_with_key(|team| view.owner(&PieceName::Team(team.clone())).cloned());
        let Some(target) = owner.clone().or_else(|| attempt.requester.clone()) else { continue };
        if is_notified(attempt, &target, view.now) {
            continue;
        }
        if let Some(notice) = attempt.notice() {
            notices.entry(target.clone()).or_default().push(notice);
        }
        if let LocalPhase::Ended(end) = &mut attempt.phase {
            end.notified = Some((target, view.now));
        }
    }
    for (owner, notices) in notices {
        for part in notices.chunks(MAX_NOTICES) {
            let message = PeerMessage::Ended { rack: rack.name.clone(), notices: part.to_vec() };
            out.send(&owner, message);
        }
    }
}

fn is_notified(attempt: &TrackedAttempt, target: &MemberName, now: ClockTime) -> bool {
    let LocalPhase::Ended(end) = &attempt.phase else { return true };
    end.notified.as_ref().is_some_and(|(to, at)| to == target && now.since(*at) < REPEAT_MS)
}
