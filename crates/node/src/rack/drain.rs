//! Drains a rack whose availability zone goes out of service, and limits starts when the zone is
//! back.
//!
//! Nothing starts once the manifest takes the zone out of service. Running attempts are stopped
//! with a checkpoint at a limited rate, so that the other zones are not flooded with restarts.
//! Requests are short and first get time to end by themselves; work that cannot run again is left
//! to end. When the zone is back, starts are rate-limited for a while, so that the empty zone does
//! not attract all work at once.

use {
    super::{AttemptKey, RackTable, StopReason, TrackedAttempt},
    crate::{LogLevel, buffer::ActionBuffer, view::ClusterView},
    damaskrack_model::{ClockTime, WorkKind},
};

/// Time that requests get to end by themselves before they are stopped, in milliseconds.
const REQUEST_GRACE_MS: u64 = 5_000;

/// Time for which starts are rate-limited after a zone is back in service, in milliseconds.
const RAMP_MS: u64 = 5_000;

/// Applies the state of the rack's zone.
pub(crate) fn run_drain(rack: &mut RackTable, view: &ClusterView, out: &mut ActionBuffer) {
    let Some(zone) = &rack.zone else { return };
    if view.manifest.version == 0 {
        return;
    }
    match (view.is_zone_in_service(zone), rack.zone_out_since) {
        (true, None) => {}
        (true, Some(_)) => {
            rack.zone_out_since = None;
            rack.ramp_until = view.now.plus(RAMP_MS);
            out.log(LogLevel::Info, "rack_ramping", &[("rack", &rack.name), ("zone", zone)]);
        }
        (false, None) => {
            out.log(LogLevel::Info, "rack_draining", &[("rack", &rack.name), ("zone", zone)]);
            rack.zone_out_since = Some(view.now);
            stop_drainable(rack, view.now, view.now);
        }
        (false, Some(since)) => stop_drainable(rack, since, view.now),
    }
}

fn stop_drainable(rack: &mut RackTable, since: ClockTime, now: ClockTime) {
    let are_requests_due = now.since(since) >= REQUEST_GRACE_MS;
    let keys: Vec<AttemptKey> = rack.keys_where(|attempt| {
        is_drainable(attempt) && (are_requests_due || attempt.kind != Some(WorkKind::Request))
    });
    for key in keys {
        if !rack.drain_budget.try_take(now) {
            break;
        }
        if let Some(attempt) = rack.attempts.get_mut(key) {
            attempt.plan_stop(StopReason::Drained, now);
        }
    }
}

fn is_drainable(attempt: &TrackedAttempt) -> bool {
    attempt.is_running() && attempt.is_preemptible && attempt.stop.is_none()
}
