//! Why steps wait.
//!
//! A step that has waited for some time is logged with the number of workers that each reason keeps away,
//! the same reasons as those by which it is placed. The event names the reason that is closest to a
//! start, so that the counters of events show what most steps wait for.

use {
    super::{
        CellCore, exclusion_set::ExclusionSet, reason_counts::ReasonCounts, step_hosts::StepHosts,
    },
    crate::{
        WorkerKey,
        message::PhaseRef,
        table::{ChosenWait, PhaseEntry},
    },
};

/// Event of a step that waits by choice.
const CHOSEN_WAIT_EVENT: &str = "step_waits_by_choice";
/// Time that a step waits until it is logged, and between two lines about it, in milliseconds.
const LINE_INTERVAL_MS: u64 = 2_000;
/// Time between placements that log steps, in milliseconds.
const ROUND_MS: u64 = 500;
/// Maximum number of steps that such a placement logs.
const MAX_LINES: usize = 4;

impl CellCore {
    /// Logs why steps wait, those first that have not been logged for longest.
    pub(super) fn explain_waiting(&mut self, waiting: &[PhaseRef]) {
        let now_ms = self.time.now_ms;
        if now_ms < self.explanation_due_ms {
            return;
        }
        self.explanation_due_ms = now_ms + ROUND_MS;
        let mut due = Vec::new();
        for phase in waiting {
            let Some(entry) = self.phase_mut(*phase).filter(|entry| entry.unassigned > 0) else {
                continue;
            };
            let explained_ms = *entry.explained_ms.get_or_insert(now_ms);
            if explained_ms + LINE_INTERVAL_MS <= now_ms {
                due.push((explained_ms, *phase));
            }
        }
        due.sort_by_key(|(explained_ms, _)| *explained_ms);
        for (_, phase) in due.into_iter().take(MAX_LINES) {
            self.explain_step(phase);
        }
    }

    fn explain_step(&mut self, phase: PhaseRef) {
        let counts = self.reason_counts(phase);
        let event = self.wait_event(phase, &counts);
        let job = &mut self.jobs[phase.job];
        let entry = &mut job.phases[phase.phase];
        entry.explained_ms = Some(self.time.now_ms);
        let detail = counts.detail(entry.unassigned);
        let name = job.phase_name(phase.phase);
        self.log(event, name, detail);
    }

    /// Counts the workers by the reason for which they may not run a task of a step now.
    fn reason_counts(&self, phase: PhaseRef) -> ReasonCounts {
        let hosts = StepHosts::new(self, phase);
        let mut counts = ReasonCounts::default();
        for key in self.workers.keys() {
            counts.record(hosts.exclusion(key, ExclusionSet::TO_START));
        }
        counts
    }

    fn is_waiting_by_choice(&self, entry: &PhaseEntry) -> bool {
        let wait = entry.chosen_wait.as_ref();
        wait.is_some_and(|wait| wait.until_ms > self.time.now_ms)
    }

    /// Logs that a step begins to wait by choice, for what and until when, or how such a wait ended.
    pub(super) fn log_wait(
        &mut self,
        phase: PhaseRef,
        former: Option<&ChosenWait>,
        wait: Option<&ChosenWait>,
        plan: &[WorkerKey],
    ) {
        let (event, detail) = match (former, wait) {
            (None, Some(wait)) => (CHOSEN_WAIT_EVENT, self.wait_detail(phase, wait, plan)),
            (Some(former), None) => {
                let run_ms = self.plan_run_ms(phase, plan);
                let has_paid = run_ms <= former.run_ms;
                let event = if has_paid { "step_wait_paid" } else { "step_wait_in_vain" };
                (event, format!("run_ms={run_ms:.0}"))
            }
            _ => return,
        };
        let name = self.jobs[phase.job].phase_name(phase.phase);
        self.log(event, name, detail);
    }

    fn wait_detail(&self, phase: PhaseRef, wait: &ChosenWait, plan: &[WorkerKey]) -> String {
        let wait_ms = wait.until_ms.saturating_sub(self.time.now_ms);
        let worker = wait.workers.first().and_then(|key| self.workers.get(*key));
        let place = worker.map_or_else(String::new, |worker| match self.is_gang(phase) {
            true => format!("rack={}", worker.rack()),
            false => format!("worker={}", worker.report.id),
        });
        let until_ms = self.time.wall_ms + wait_ms;
        let tasks = wait.workers.len();
        let (run_ms, now_run_ms) = (wait.run_ms, self.plan_run_ms(phase, plan));
        format!(
            "tasks={tasks} {place} wait_ms={wait_ms} until_ms={until_ms} run_ms={run_ms:.0} instead_of_ms={now_run_ms:.0}"
        )
    }

    /// Returns the event that names what a step waits for.
    fn wait_event(&self, phase: PhaseRef, counts: &ReasonCounts) -> &'static str {
        let entry = &self.jobs[phase.job].phases[phase.phase];
        if self.has_running_members(phase) {
            return "step_waits_for_gang_members";
        }
        if !entry.retry.is_due(self.time.now_ms) {
            return "step_waits_for_retry";
        }
        if self.waits_for_late_starts(phase) {
            return "step_waits_for_late_start";
        }
        if self.placeable_tasks(phase, entry.unassigned) == 0 {
            return "step_waits_for_team_limit";
        }
        if self.is_waiting_by_choice(entry) {
            return CHOSEN_WAIT_EVENT;
        }
        match counts.closest() {
            Some(reason) => reason.wait_event(),
            None => "step_waits_for_places",
        }
    }
}
