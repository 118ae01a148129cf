//! The workers of a call to the adviser.
//!
//! A call names the workers that are likely to be needed, those known to be allowed first, and some that
//! the adviser has not been asked about. The longer calls lead to no start, the more of these: so each
//! worker that may run a task of the step is named within a bounded number of calls, whatever the
//! order, however soon tickets expire, and however many workers are known to be allowed.

use {
    super::{
        CellCore, advice::INITIAL_GRANT_RATE, available::AvailableWorkers, call_room::CallRoom,
        exclusion_set::ExclusionSet, speed_order::SpeedOrder, step_hosts::StepHosts,
        worker_exclusion::WorkerExclusion,
    },
    crate::{WorkerKey, message::PhaseRef},
};

/// Maximum number of workers in a call.
pub(super) const MAX_WORKERS: usize = 100;
/// Factor by which the expected number of allowed places exceeds the number of tasks.
const SPARE_FACTOR: f64 = 1.6;
/// The same factor where others may be stopped: gangs start or reserve places while the adviser decides, and short
/// calls with a choice leave these alone. With 1.6 the value of gangs was 0.87 in a replay of a cell with 120 % of
/// its load, with 3.0 it was 0.91.
const ROOM_SPARE_FACTOR: f64 = 3.0;
/// Number of additional workers in a call, and of those among them that have not been asked about. It
/// doubles with each response that leads to no start.
const SPARE_WORKERS: usize = 3;
/// Maximum number of doublings.
const MAX_SPARE_DOUBLINGS: u32 = 5;
/// The first one in this many of the workers with free capacity are rotated from call to call.
const ROTATED_SHARE: usize = 3;
/// Offset between the first workers of two consecutive calls; a prime, so that the rotation covers
/// lists of any length.
const ROTATION_STRIDE: usize = 7_919;

/// Workers without tickets that a call could name, in order of preference.
#[derive(Debug)]
struct CallCandidates {
    /// Workers that may run a task once they have a ticket, and are known to be allowed.
    known: Vec<WorkerKey>,
    /// Other workers that may.
    fresh: Vec<WorkerKey>,
}

impl CellCore {
    /// Chooses the workers of a call.
    pub(super) fn workers_to_name(
        &self,
        phase: PhaseRef,
        available: &AvailableWorkers,
        may_prefetch: bool,
        may_make_room: bool,
    ) -> Vec<WorkerKey> {
        let hosts = StepHosts::new(self, phase);
        let (able, mut later) = hosts.by_outlook(available.of(hosts.service()));
        let room = match may_make_room {
            true => self.call_room(phase, &hosts, &later),
            false => CallRoom::default(),
        };
        if !room.is_empty() {
            later.retain(|key| !room.contains(*key));
        }
        let has_places = has_enough_places(&hosts, &able, &room);
        let may_wait = may_prefetch && !(able.is_empty() && later.is_empty());
        if !has_places && !may_wait {
            return Vec::new();
        }
        let has_suspect = self.has_waiting_suspect(phase);
        let needs_calm = has_suspect && hosts.needs_calm();
        let mut order = match needs_calm {
            true => self.calmest_first(able),
            false => self.preferred_first(&hosts, able),
        };
        order.extend(room.workers());
        let call_ms = if has_places { self.gang_call_ms(&hosts, phase) } else { 0 };
        let candidates = call_candidates(&hosts, &order, call_ms);
        let reserved = self.reserved_for_fresh(&hosts, &candidates, &room);
        let mut likely = [candidates.known.as_slice(), candidates.fresh.as_slice()].concat();
        if hosts.speed_order() != SpeedOrder::Ignored {
            likely.sort_by_cached_key(|key| !hosts.speed_rank(*key).is_sufficient());
        }
        if needs_calm {
            // A suspect goes to a worker with few attempts, known or not.
            likely.sort_by_key(|key| self.workers[*key].attempts.len());
        }
        let awaited = self.workers_to_ask_about(phase);
        if !awaited.is_empty() {
            likely.retain(|key| !awaited.contains(key));
            likely.splice(0..0, awaited);
        }
        let able = likely.len();
        if may_prefetch && !has_suspect {
            let later = later.iter().rev().copied().filter(|key| !hosts.has_ticket(*key));
            likely.extend(later.take(MAX_WORKERS));
        }
        let count = self.likely_count(&hosts, phase, &likely, &room).min(MAX_WORKERS - reserved);
        let (named, left) = likely.split_at(count);
        let is_fresh = |key: &&WorkerKey| !hosts.entry().allowed.contains_key(*key);
        let left_able = &left[..able.saturating_sub(count)];
        let fresh: Vec<WorkerKey> =
            left_able.iter().filter(is_fresh).take(reserved).copied().collect();
        let others = left.iter().filter(|key| !fresh.contains(key));
        let others = others.take(SPARE_WORKERS.saturating_sub(fresh.len()));
        let all = named.iter().chain(&fresh).chain(others);
        all.take(MAX_WORKERS).copied().collect()
    }

    /// Returns workers in the order of their numbers of attempts.
    fn calmest_first(&self, mut workers: Vec<WorkerKey>) -> Vec<WorkerKey> {
        workers.sort_by_key(|key| self.workers[*key].attempts.len());
        workers
    }

    /// Returns available workers in the order in which calls name them. Gangs start with the workers with
    /// the most free capacity and other steps with those with the least, so that large blocks of free
    /// capacity remain for gangs. Before that, speeds decide, as for placement. Consecutive calls start with
    /// different workers.
    fn preferred_first(
        &self,
        hosts: &StepHosts<'_>,
        mut workers: Vec<WorkerKey>,
    ) -> Vec<WorkerKey> {
        if hosts.step().is_gang {
            workers.reverse();
        }
        let suits = |key: &WorkerKey| !hosts.holds(WorkerExclusion::Segregation, *key);
        let (mut suitable, mixed): (Vec<WorkerKey>, Vec<WorkerKey>) =
            workers.into_iter().partition(suits);
        if hosts.is_kept_apart() {
            suitable.sort_by_key(|key| self.exposure(*key));
        }
        let rotated_count = suitable.len().div_ceil(ROTATED_SHARE);
        if hosts.speed_order() == SpeedOrder::Ignored {
            self.rotate_first(&mut suitable, rotated_count);
        } else {
            suitable.sort_by_cached_key(|key| hosts.speed_rank(*key));
            let alike = suitable.chunk_by_mut(|a, b| hosts.is_alike(*a, *b));
            alike.for_each(|workers| self.rotate_first(workers, rotated_count));
        }
        suitable.extend(mixed);
        suitable
    }

    /// Rotates the first ones of some workers, up to a number, by an offset that differs from call to call.
    fn rotate_first(&self, workers: &mut [WorkerKey], count: usize) {
        let count = count.min(workers.len());
        let rotation = self.advice_turns.calls() * ROTATION_STRIDE;
        workers[..count].rotate_left(rotation.checked_rem(count).unwrap_or(0));
    }

    /// Returns the duration of a call for a gang, in milliseconds; 0 for another step. The tickets of a gang must be
    /// valid at one time, so those that expire before the call ends are renewed by it.
    fn gang_call_ms(&self, hosts: &StepHosts<'_>, phase: PhaseRef) -> u64 {
        let timing = self.advice_timing(phase).filter(|_| hosts.step().is_gang);
        let workers = hosts.entry().unassigned.min(MAX_WORKERS);
        timing.map_or(0, |timing| timing.duration_us(workers) / 1_000)
    }

    /// Returns how many workers of a call must be ones that have not been asked about. A gang needs none if
    /// there are enough that are known, whose tickets must be valid at one time.
    fn reserved_for_fresh(
        &self,
        hosts: &StepHosts<'_>,
        candidates: &CallCandidates,
        room: &CallRoom,
    ) -> usize {
        let entry = hosts.entry();
        if hosts.step().is_gang {
            let may_run = |key: &WorkerKey| {
                room.contains(*key) || hosts.allows(*key, ExclusionSet::TO_START_WITH_TICKET)
            };
            let known = entry.allowed.keys().copied().filter(may_run);
            let places = known.map(|key| room.places(hosts, key)).fold(0, u64::saturating_add);
            if places >= entry.unassigned as u64 {
                return 0;
            }
        }
        let spare = SPARE_WORKERS << entry.fruitless_calls.min(MAX_SPARE_DOUBLINGS);
        spare.min(candidates.fresh.len())
    }

    /// Returns how many of some workers are likely to be needed, from the first on.
    fn likely_count(
        &self,
        hosts: &StepHosts<'_>,
        phase: PhaseRef,
        workers: &[WorkerKey],
        room: &CallRoom,
    ) -> usize {
        let entry = hosts.entry();
        let queue = &self.jobs[phase.job].record.queue;
        let share = self.grant_rate.get(queue).copied().unwrap_or(INITIAL_GRANT_RATE);
        let mut expected_tasks = 0.0;
        let spare_factor = if room.is_empty() { SPARE_FACTOR } else { ROOM_SPARE_FACTOR };
        let wanted = entry.unassigned as f64 * spare_factor;
        let is_needed = |key: &&WorkerKey| {
            let is_needed = expected_tasks < wanted;
            let places = room.places(hosts, **key).clamp(1, entry.unassigned.max(1) as u64);
            let chance = if entry.allowed.contains_key(*key) { 1.0 } else { share };
            expected_tasks += places as f64 * chance;
            is_needed
        };
        workers.iter().take_while(is_needed).count()
    }
}

/// Returns whether a step could be placed if there were tickets for all of some workers. Only a gang needs
/// more than one place.
fn has_enough_places(hosts: &StepHosts<'_>, workers: &[WorkerKey], room: &CallRoom) -> bool {
    if !hosts.step().is_gang {
        return !workers.is_empty() || !room.is_empty();
    }
    let needed = hosts.entry().unassigned as u64;
    let mut places = 0_u64;
    let mut suffice = |more: u64| {
        places = places.saturating_add(more);
        places >= needed
    };
    workers.iter().any(|key| suffice(hosts.places(*key)))
        || room.workers().any(|key| suffice(room.places(hosts, key)))
}

/// Returns those of some workers that a call could name: those without a ticket that is valid for some time.
fn call_candidates(hosts: &StepHosts<'_>, order: &[WorkerKey], valid_ms: u64) -> CallCandidates {
    let needs_call = order.iter().copied().filter(|key| !hosts.has_ticket_for(*key, valid_ms));
    let (known, mut fresh): (Vec<WorkerKey>, Vec<WorkerKey>) =
        needs_call.partition(|key| hosts.entry().allowed.contains_key(key));
    fresh.truncate(MAX_WORKERS);
    CallCandidates { known, fresh }
}
