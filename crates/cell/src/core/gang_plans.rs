//! Planned starts of gangs that wait for tickets.
//!
//! A gang's tickets must be valid at one time, so a call to the adviser names all workers that it needs, and
//! takes about a second. Which of them are allowed is often known from earlier calls. Then the start is planned
//! for the time of the response: what is free on these workers, or becomes free, goes only to tasks that end before.

use {
    super::{
        CellCore,
        exclusion_set::ExclusionSet,
        reservations::Reservation,
        step_hosts::StepHosts,
        victims::{HostRoom, PreemptionDecision, PreemptionPlan, choose_victims},
    },
    crate::{WorkerKey, message::PhaseRef},
};

/// Time after the planned start for which capacity is reserved, in milliseconds. It covers a late response
/// of the adviser.
const LATE_RESPONSE_MS: u64 = 400;

impl CellCore {
    /// Plans the start of a gang for the time at which the adviser responds to a call, if the gang is one of
    /// the first and enough workers are known to be allowed.
    pub(super) fn plan_start(&mut self, phase: PhaseRef, start_ms: u64, named: &[WorkerKey]) {
        if !self.settings.features.gang_room
            || !self.is_gang(phase)
            || !self.is_entitled_to_room(phase)
            || self.reservations.planned() >= self.max_reserved_gangs()
        {
            return;
        }
        let hosts = StepHosts::new(self, phase);
        let count = hosts.entry().unassigned as u64;
        let need = hosts.need();
        match choose_victims(&need, count, self.known_rooms(phase, &hosts, start_ms, named)) {
            PreemptionDecision::Impossible => {}
            PreemptionDecision::Reserve(plan) | PreemptionDecision::Stop(plan) => {
                self.reserve_for_start(phase, start_ms, &plan);
            }
        }
    }

    /// Returns the workers that are known to be allowed for a gang, and for which it has tickets at a time.
    fn known_rooms(
        &self,
        phase: PhaseRef,
        hosts: &StepHosts<'_>,
        start_ms: u64,
        named: &[WorkerKey],
    ) -> Vec<HostRoom> {
        let wait_ms = start_ms.saturating_sub(self.time.now_ms);
        let known = hosts.entry().allowed.keys().copied();
        let has_ticket =
            |key: &WorkerKey| named.contains(key) || hosts.has_ticket_for(*key, wait_ms);
        let is_able = |key: &WorkerKey| {
            hosts.allows(*key, ExclusionSet::TO_START_WITH_TICKET_AFTER_STOPS)
                && !self.workers[*key].is_overcommitted()
        };
        let able = known.filter(has_ticket).filter(is_able);
        able.map(|key| self.room(phase, hosts, key, wait_ms)).collect()
    }

    fn reserve_for_start(&mut self, phase: PhaseRef, start_ms: u64, plan: &PreemptionPlan) {
        let until_ms = start_ms + LATE_RESPONSE_MS;
        let reservation = Reservation {
            phase,
            priority: self.priority_of(&self.jobs[phase.job].record),
            need: StepHosts::new(self, phase).need(),
            hosts: plan.hosts.clone(),
            victims: Vec::new(),
            start_ms,
            is_freeing: false,
            ready_by_ms: until_ms,
            until_ms,
        };
        self.reservations.insert(reservation);
        let start_in_ms = start_ms.saturating_sub(self.time.now_ms);
        let detail = format!("workers={} start_in_ms={start_in_ms}", plan.hosts.len());
        let name = self.jobs[phase.job].phase_name(phase.phase);
        self.log("gang_reserved", name, detail);
    }
}
