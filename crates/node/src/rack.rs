//! Rack owner: admits attempts to the workers of the racks that this daemon owns.
//!
//! Each rack has one table of workers and attempts. Nothing in it is persistent: after a change of
//! owner it is rebuilt from the workers' reports. A rack is processed when something has happened
//! to it, and otherwise at a low fixed rate, so that many quiet racks cost little.

mod attempt;
mod drain;
mod free_capacity;
mod hosts;
mod notify;
mod place;
mod preempt;
mod report;
mod shared;
mod start;
mod stop;
mod summary;
mod sync;
mod table;
#[cfg(test)]
mod tests;
mod worker;

use {
    crate::{LogLevel, NodeConfig, buffer::ActionBuffer, view::ClusterView},
    damaskrack_model::{AttemptId, ClockTime, Epoch, MemberName, RackName, TeamName},
    damaskrack_outside::{WorkerError, WorkerReply},
    damaskrack_ownership::MemberStanding,
    damaskrack_policy::HealthChange,
    damaskrack_wire::{PeerMessage, PlaceOrder, PlaceOutcome, RackSummary, RefusalReason},
    place::CommandSender,
    std::collections::BTreeMap,
};

pub(crate) use {
    attempt::{LocalPhase, StopReason, TrackedAttempt, UnacknowledgedEnd, UnconfirmedStart},
    shared::{CallEntry, CallKind, RackIntervals, RackShared},
    table::{RackTable, RollCallEntry, WorkerLoad},
    worker::{ReplyOrigin, WorkerEntry},
};

slotmap::new_key_type! {
    /// Key of a worker in its rack's table.
    pub(crate) struct WorkerKey;
    /// Key of an attempt in its rack's table.
    pub(crate) struct AttemptKey;
}

/// Interval at which a rack is processed even if nothing has happened to it, in milliseconds.
const IDLE_RUN_INTERVAL_MS: u64 = 50;

/// Interval at which the host list is applied and expired entries are removed, in milliseconds.
const MAINTENANCE_INTERVAL_MS: u64 = 500;

/// Tables of all racks that this daemon owns.
#[derive(Debug, Default)]
pub(crate) struct RackRole {
    racks: BTreeMap<RackName, RackTable>,
    shared: RackShared,
    next_maintenance_at: ClockTime,
    last_tick_at: Option<ClockTime>,
}

impl RackRole {
    /// Starts to own a rack under a new epoch and starts to rebuild its table.
    ///
    /// The fences of the teams start at the epochs of the ownership records in `view`, which the
    /// caller has read after the rack's own record was written.
    pub(crate) fn take(&mut self, rack: &RackName, epoch: Epoch, view: &ClusterView) {
        self.racks.insert(rack.clone(), RackTable::new(rack.clone(), epoch, view.now));
        self.next_maintenance_at = ClockTime::default();
    }

    /// Stops accepting work for a rack that is about to be released.
    pub(crate) fn freeze(&mut self, rack: &RackName) {
        self.set_frozen(rack, true);
    }

    /// Accepts work again for a rack whose release was cancelled.
    pub(crate) fn thaw(&mut self, rack: &RackName) {
        self.set_frozen(rack, false);
    }

    fn set_frozen(&mut self, rack: &RackName, is_frozen: bool) {
        if let Some(table) = self.racks.get_mut(rack) {
            table.is_frozen = is_frozen;
            table.is_dirty = true;
        }
    }

    /// Returns whether a frozen rack can be released.
    ///
    /// It can if no start is in flight and nothing runs on a worker that has vanished from the host
    /// list, where the next owner would not look for it.
    pub(crate) fn can_release(&self, rack: &RackName) -> bool {
        self.racks.get(rack).is_none_or(|table| {
            let is_in_flight = |attempt: &TrackedAttempt| match &attempt.phase {
                LocalPhase::Starting(start) => start.call.is_some(),
                _ => attempt.is_unsent(),
            };
            let is_left_behind =
                |worker: &WorkerEntry| worker.listed.is_none() && !worker.attempts.is_empty();
            !table.attempts.values().any(is_in_flight)
                && !table.workers.values().any(is_left_behind)
        })
    }

    /// Drops a rack that this daemon no longer owns.
    pub(crate) fn forget(&mut self, rack: &RackName) {
        self.racks.remove(rack);
    }

    /// Handles a peer message about racks: `Place`, `Commit`, `Release`, `StopAttempts`, `Inquire`,
    /// `EndedAck` or `RollCall`.
    pub(crate) fn on_message(
        &mut self,
        from: &MemberName,
        message: PeerMessage,
        view: &ClusterView,
        out: &mut ActionBuffer,
    ) {
        match message {
            PeerMessage::Place { team, epoch, rack, orders } => {
                self.on_place((from, &team, epoch), &rack, orders, view, out);
            }
            PeerMessage::Commit { team, epoch, rack, attempts } => {
                self.with_rack((from, &team, epoch), &rack, view, out, |table, sender| {
                    place::commit(table, view, sender, attempts);
                });
            }
            PeerMessage::Release { team, epoch, rack, attempts } => {
                self.with_rack((from, &team, epoch), &rack, view, out, |table, sender| {
                    place::release(table, view.now, sender, attempts);
                });
            }
            PeerMessage::StopAttempts { team, epoch, rack, attempts } => {
                self.with_rack((from, &team, epoch), &rack, view, out, |table, sender| {
                    place::stop_attempts(table, view.now, sender, attempts);
                });
            }
            PeerMessage::Inquire { team, epoch, rack, attempts } => {
                self.with_rack((from, &team, epoch), &rack, view, out, |table, sender| {
                    place::inquire(table, view.now, sender, attempts);
                });
            }
            PeerMessage::RollCall { team, epoch, racks } => {
                for rack in racks {
                    self.with_rack((from, &team, epoch), &rack, view, out, |table, sender| {
                        place::roll_call(table, view.now, sender);
                    });
                }
            }
            PeerMessage::EndedAck { rack, attempts } => self.on_ended_ack(&rack, attempts),
            _ => {}
        }
    }

    fn on_place(
        &mut self,
        (from, team, epoch): (&MemberName, &TeamName, Epoch),
        rack: &RackName,
        orders: Vec<PlaceOrder>,
        view: &ClusterView,
        out: &mut ActionBuffer,
    ) {
        let fence = self.shared.check_epoch(team, epoch, view);
        let Some(table) = self.racks.get_mut(rack) else {
            return refuse_not_owned(from, rack, orders, out);
        };
        let sender = CommandSender { member: from, team, epoch, fence };
        for order in orders {
            place::place(table, &mut self.shared, view, sender, order);
        }
        send_outputs(table, &mut self.shared, view, out);
    }

    fn with_rack(
        &mut self,
        (from, team, epoch): (&MemberName, &TeamName, Epoch),
        rack: &RackName,
        view: &ClusterView,
        out: &mut ActionBuffer,
        handle: impl FnOnce(&mut RackTable, CommandSender<'_>),
    ) {
        let fence = self.shared.check_epoch(team, epoch, view);
        let Some(table) = self.racks.get_mut(rack) else { return };
        handle(table, CommandSender { member: from, team, epoch, fence });
        send_outputs(table, &mut self.shared, view, out);
    }

    fn on_ended_ack(&mut self, rack: &RackName, attempts: Vec<AttemptId>) {
        if let Some(table) = self.racks.get_mut(rack) {
            place::acknowledge(table, attempts);
        }
    }

    /// Handles the result of a worker call.
    pub(crate) fn on_worker(
        &mut self,
        call: u64,
        result: Result<WorkerReply, WorkerError>,
        view: &ClusterView,
        out: &mut ActionBuffer,
    ) {
        let Some(entry) = self.shared.calls.remove(&call) else { return };
        let Some(table) = self.racks.get_mut(&entry.rack) else { return };
        if table.epoch == entry.epoch {
            report::on_call_end(table, &mut self.shared, (call, &entry), result, view, out);
        }
    }

    /// Advances every owned rack.
    pub(crate) fn tick(&mut self, config: &NodeConfig, view: &ClusterView, out: &mut ActionBuffer) {
        self.shared.intervals = RackIntervals::from_config(config);
        self.detect_pause(view);
        if view.now >= self.next_maintenance_at {
            self.next_maintenance_at = view.now.plus(MAINTENANCE_INTERVAL_MS);
            self.run_maintenance(view);
            self.shared.has_new_failure = true;
        }
        if std::mem::take(&mut self.shared.has_new_failure) {
            self.review_health(view, out);
        }
        for table in self.racks.values_mut() {
            if table.is_dirty || view.now >= table.next_run_at {
                run_rack(table, &mut self.shared, view, out);
                table.is_dirty = false;
                table.next_run_at = view.now.plus(IDLE_RUN_INTERVAL_MS);
            }
        }
    }

    /// Detects that this daemon was paused or is isolated. A worker's silence before then proves
    /// nothing.
    fn detect_pause(&mut self, view: &ClusterView) {
        let gap_ms = self.last_tick_at.map_or(0, |then| view.now.since(then));
        let was_paused = gap_ms > self.shared.intervals.isolation_ms;
        if was_paused || view.standing == MemberStanding::Isolated {
            self.shared.resumed_at = view.now;
        }
        self.last_tick_at = Some(view.now);
    }

    fn run_maintenance(&mut self, view: &ClusterView) {
        hosts::apply_hosts(&mut self.racks, &mut self.shared, view);
        self.shared.expire_preemptions(view.now);
        for table in self.racks.values_mut() {
            table.voids.retain(|_, until| view.now < *until);
        }
    }

    /// Updates the health of all workers. Also runs right after a failed task: a worker that fails
    /// everything is free again at once and would fail many tasks before the next maintenance.
    fn review_health(&mut self, view: &ClusterView, out: &mut ActionBuffer) {
        let workers = self.racks.values().map(|table| table.workers.len()).sum();
        for change in self.shared.health.review(workers, view.now) {
            log_health(&change, out);
        }
    }

    /// Returns the summaries of the owned racks whose zone is known.
    pub(crate) fn summaries(&self, view: &ClusterView) -> Vec<RackSummary> {
        self.racks
            .values()
            .filter_map(|table| summary::summarize(table, &self.shared, view))
            .collect()
    }

    /// Returns the tables as JSON for the state dump.
    pub(crate) fn dump(&self) -> serde_json::Value {
        self.racks.values().map(summary::dump_rack).collect()
    }
}

fn run_rack(
    table: &mut RackTable,
    shared: &mut RackShared,
    view: &ClusterView,
    out: &mut ActionBuffer,
) {
    sync::run_expiry(table, shared, view, out);
    start::expire_unsent(table, shared, view);
    drain::run_drain(table, view, out);
    preempt::run_pending(table, shared, view);
    send_outputs(table, shared, view, out);
    notify::send_notices(table, view, out);
    sync::run_syncs(table, shared, view, out);
}

/// Sends the starts, stops and responses that are due without waiting for the next tick.
fn send_outputs(
    table: &mut RackTable,
    shared: &mut RackShared,
    view: &ClusterView,
    out: &mut ActionBuffer,
) {
    start::run_starts(table, shared, view, out);
    stop::run_stops(table, shared, view.now, out);
    notify::send_verdicts(table, out);
    notify::answer_roll_calls(table, view, out);
}

/// Refuses place orders for a rack that this daemon does not own.
fn refuse_not_owned(
    from: &MemberName,
    rack: &RackName,
    orders: Vec<PlaceOrder>,
    out: &mut ActionBuffer,
) {
    let refusal = PlaceOutcome::Refused(RefusalReason::NotOwner);
    let verdicts = orders.into_iter().map(|order| (order.attempt, refusal.clone())).collect();
    out.send(from, PeerMessage::Placed { rack: rack.clone(), verdicts });
}

fn log_health(change: &HealthChange<damaskrack_model::WorkerName>, out: &mut ActionBuffer) {
    let (level, event, worker) = match change {
        HealthChange::Quarantined(worker) => (LogLevel::Warning, "worker_quarantined", worker),
        HealthChange::Probing(worker) => (LogLevel::Info, "worker_probing", worker),
        HealthChange::Returned(worker) => (LogLevel::Info, "worker_returned", worker),
    };
    out.log(level, event, &[("worker", worker)]);
    out.count("rack.health_changes", 1);
}
