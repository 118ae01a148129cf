//! Registration, removal and lease expiry of workers.

use {
    super::{CellCore, losses::LossCause, release_cause::ReleaseCause},
    crate::{
        AttemptKey, TaskProgress, WorkerKey, WorkerReport,
        table::{WorkerEntry, WorkerLease, longest_lease_ms},
    },
    rustc_hash::FxHashSet,
};

impl CellCore {
    /// Applies the list of registered workers.
    pub(super) fn update_workers(&mut self, reports: Vec<WorkerReport>) {
        let mut listed = FxHashSet::default();
        for report in reports {
            listed.insert(report.id.clone());
            self.update_worker(report);
        }
        for worker in self.workers.values_mut() {
            worker.has_entry = listed.contains(&worker.report.id);
            if !worker.has_entry {
                worker.claim = None;
            }
        }
        let unlisted: Vec<WorkerKey> = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.is_listed && !listed.contains(&worker.report.id))
            .map(|(key, _)| key)
            .collect();
        for key in unlisted {
            let worker = &mut self.workers[key];
            worker.is_listed = false;
            let id = worker.report.id.clone();
            self.log("worker_unlisted", id, "");
        }
    }

    fn update_worker(&mut self, report: WorkerReport) {
        self.resolve_losses(&report);
        match self.worker_ids.get(&report.id) {
            Some(&key) => self.update_known_worker(key, report),
            None => {
                self.insert_worker(report);
            }
        }
    }

    /// Switches to another incarnation of a worker, which has listed no attempt yet.
    pub(super) fn restart_worker(&mut self, key: WorkerKey, incarnation: u64) {
        let now_ms = self.time.now_ms;
        let worker = &mut self.workers[key];
        let id = worker.report.id.clone();
        let detail = format!(
            "born={incarnation} former={} renewal_open={} deadline_sent_ms_ago={}",
            worker.report.incarnation,
            worker.renew_sent_ms.is_some(),
            worker.lease.deadline_age_ms(now_ms)
        );
        worker.restart(incarnation, self.settings.max_worker_lease_ms);
        for attempt in worker.attempts.values() {
            self.attempts[*attempt].start.record_restart();
        }
        self.log("incarnation_switched", id, detail);
    }

    /// Switches to another incarnation of a worker and forgets what was known of the present one.
    pub(super) fn switch_incarnation(&mut self, key: WorkerKey, incarnation: u64) {
        self.restart_worker(key, incarnation);
        self.forget_advice(key);
    }

    fn insert_worker(&mut self, report: WorkerReport) -> WorkerKey {
        let lease = WorkerLease::new(self.inherited_expiry_ms(), self.settings.max_worker_lease_ms);
        let id = report.id.clone();
        let fence = self.former_fence.next();
        let speed = self.stored_speeds.take(&id);
        let key = self.workers.insert(WorkerEntry::new(report, lease, fence));
        self.workers[key].unsettled_until_ms = self.removed_starts.take(&id);
        *self.workers[key].speed = speed;
        self.worker_ids.insert(id, key);
        key
    }

    /// Returns whether a worker's leases last no longer than those that this leader asks for.
    pub(super) fn has_bounded_leases(&self, worker: &WorkerEntry) -> bool {
        worker.has_bounded_leases(self.time.now_ms, self.settings.lease_ms)
    }

    /// Writes the rows of attempts again whose workers' leases have become bounded since, so that a new leader
    /// knows.
    pub(super) fn record_bounded_leases(&mut self) {
        let (now_ms, lease_ms) = (self.time.now_ms, self.settings.lease_ms);
        let mut jobs = FxHashSet::default();
        for worker in self.workers.values_mut().filter(|worker| worker.has_unbounded_rows) {
            if worker.has_bounded_leases(now_ms, lease_ms) {
                worker.has_unbounded_rows = false;
                jobs.extend(worker.attempts.values().map(|key| self.attempts[*key].phase.job));
            }
        }
        for job in jobs {
            self.mark_dirty(job, None);
        }
    }

    /// Writes the rows of services again whose starts have been identified since. A new leader that does not hear from the
    /// worker holds the others for longer than a service may stand still.
    pub(super) fn record_identified_services(&mut self) {
        let mut jobs = FxHashSet::default();
        for worker in
            self.workers.values_mut().filter(|worker| worker.has_unidentified_service_rows)
        {
            let own = worker.attempts.values().map(|key| &self.attempts[*key]);
            let services = own.filter(|attempt| attempt.is_service);
            let (identified, open): (Vec<_>, Vec<_>) =
                services.partition(|attempt| attempt.has_identified_start(worker));
            if open.is_empty() {
                worker.has_unidentified_service_rows = false;
                jobs.extend(identified.iter().map(|attempt| attempt.phase.job));
            }
        }
        for job in jobs {
            self.mark_dirty(job, None);
        }
    }

    /// Returns the latest time at which the leases expire that former leaders have given to a worker. They
    /// have placed nothing on an incarnation that could still accept requests to a former one, so the leases
    /// of these were granted before the last of them was replaced.
    fn inherited_expiry_ms(&self) -> u64 {
        let longest_ms = longest_lease_ms(self.settings.max_worker_lease_ms);
        self.renewed_expiry_ms().max(self.started_ms + longest_ms)
    }

    /// Returns the latest time at which the leases expire that a former leader has renewed. It may have done
    /// so until it ended, or until its isolation ended.
    fn renewed_expiry_ms(&self) -> u64 {
        self.former_end_ms() + longest_lease_ms(self.settings.lease_ms)
    }

    /// Returns the latest time at which a former leader may have sent a request: it has ended, or its isolation has.
    pub(super) fn former_end_ms(&self) -> u64 {
        let isolated_ms = self.started_ms + self.settings.isolation_ms;
        self.former_ended_ms.unwrap_or(isolated_ms).min(isolated_ms)
    }

    /// Records that no former leader renews leases any more.
    pub(super) fn end_former_leaders(&mut self) {
        self.former_ended_ms.get_or_insert(self.time.now_ms);
        let (renewed_ms, started_ms) = (self.renewed_expiry_ms(), self.started_ms);
        for worker in self.workers.values_mut() {
            worker.lease.limit_inherited(renewed_ms, started_ms);
        }
    }

    /// Takes over what the row of an attempt tells of the leases on its worker.
    pub(super) fn inherit_leases(&mut self, key: WorkerKey, attempt: &TaskProgress) {
        let (expiry_ms, lease_ms) = (self.renewed_expiry_ms(), self.settings.lease_ms);
        let worker = &mut self.workers[key];
        if attempt.has_bounded_leases && attempt.incarnation == worker.report.incarnation {
            worker.lease.limit_others(expiry_ms);
            worker.lease.limit_others_to(lease_ms);
        }
    }

    /// Finds the entry of a worker that a former leader used, or adds an unlisted one.
    pub(super) fn find_worker(&mut self, attempt: &TaskProgress) -> WorkerKey {
        if let Some(&key) = self.worker_ids.get(&attempt.worker) {
            return key;
        }
        let report = WorkerReport {
            id: attempt.worker.clone(),
            incarnation: attempt.incarnation,
            address: attempt.worker_address.clone(),
            ..WorkerReport::default()
        };
        let key = self.insert_worker(report);
        let worker = &mut self.workers[key];
        worker.is_listed = false;
        worker.has_entry = false;
        // A former leader has sent the start there.
        worker.responded_address.clone_from(&worker.report.address);
        key
    }

    /// Removes a worker on which nothing can be running any more.
    fn remove_worker(&mut self, key: WorkerKey, cause: ReleaseCause) {
        self.release_attempts(key, cause);
        if let Some(worker) = self.workers.remove(key)
            && self.worker_ids.get(&worker.report.id) == Some(&key)
        {
            self.worker_ids.remove(&worker.report.id);
            self.stored_speeds.keep(&worker.report.id, *worker.speed, self.time.now_ms);
            self.former_fence = self.former_fence.max(worker.fence);
            let until_ms = worker.unsettled_until_ms;
            self.removed_starts.keep(&worker.report.id, until_ms, self.time.now_ms);
        }
    }

    pub(super) fn release_attempts(&mut self, key: WorkerKey, cause: ReleaseCause) {
        let attempts = self.workers[key].attempts.values().copied().collect();
        self.release(key, attempts, cause);
    }

    fn release(&mut self, key: WorkerKey, attempts: Vec<AttemptKey>, cause: ReleaseCause) {
        self.release_orphans(key);
        let id = self.workers[key].report.id.clone();
        if !attempts.is_empty() {
            let is_listed = self.workers[key].is_listed;
            let count = attempts.len();
            self.log(
                "worker_empty",
                id,
                format!("cause={cause:?} listed={is_listed} attempts={count}"),
            );
        }
        for attempt in attempts {
            let phase = self.attempts[attempt].phase;
            if let Some(entry) = self.jobs[phase.job].phases.get_mut(phase.phase) {
                entry.retry.delay_once(self.time.now_ms);
            }
            self.drop_attempt(attempt, cause);
        }
    }

    /// Remembers attempts that are released because their worker's leases have expired.
    fn record_expiry(&mut self, key: WorkerKey, released: &[AttemptKey]) {
        let worker = &self.workers[key];
        let incarnation = (worker.report.id.as_str(), worker.report.incarnation);
        let attempts = worker.attempts.iter().filter(|(_, attempt)| released.contains(attempt));
        for ((task, number), _) in attempts {
            self.expired_attempts.record(incarnation, task.clone(), *number, self.time.now_ms);
        }
    }

    /// Releases the attempts on workers whose leases have expired, and removes unlisted idle
    /// workers.
    pub(super) fn expire_leases(&mut self) {
        let now_ms = self.time.now_ms;
        self.removed_starts.expire(now_ms);
        let expired: Vec<(WorkerKey, bool)> = self
            .workers
            .iter()
            .filter(|(_, worker)| match worker.is_busy() {
                true => worker.lease.expiry_ms() <= now_ms,
                false => {
                    let is_fencing = worker.needs_fence() && !worker.is_silent;
                    let is_over = worker.pending_ends == 0 && !is_fencing;
                    !worker.is_listed && is_over && !worker.is_kept_for_bound()
                }
            })
            .map(|(key, worker)| (key, worker.is_listed))
            .collect();
        for (key, is_listed) in expired {
            let (over, held) = self.attempts_over_and_held(key);
            if over.is_empty() && !held.is_empty() {
                continue;
            }
            let cause = ReleaseCause::LeaseExpiry(self.workers[key].lease_limit());
            self.count_postponed_crash(key);
            self.record_losses_except(key, LossCause::LeaseExpiry, &held);
            self.record_expiry(key, &over);
            match held.is_empty() && !is_listed {
                true => self.remove_worker(key, cause),
                false => self.release(key, over, cause),
            }
        }
    }

    /// Returns the attempts that no incarnation of a worker can be running once the leases have expired that are known,
    /// and the others. An incarnation that has not been heard from may have carried out a start that was under way when
    /// the worker restarted, or a start with its ticket that was meant for a former one, and have granted the longest
    /// lease on it and on each later request.
    fn attempts_over_and_held(&self, key: WorkerKey) -> (Vec<AttemptKey>, Vec<AttemptKey>) {
        let worker = &self.workers[key];
        let longest_ms = longest_lease_ms(self.settings.max_worker_lease_ms);
        let is_over = |attempt: &AttemptKey| {
            let start = &self.attempts[*attempt].start;
            let unheard_until_ms = start.unheard_until_ms().filter(|_| !worker.has_responded);
            let unidentified_until_ms = worker
                .unidentified_until_ms(start)
                .map(|until_ms| until_ms.max(worker.lease.deadline_sent_ms()));
            let until_ms = unheard_until_ms.max(unidentified_until_ms);
            until_ms.is_none_or(|until_ms| until_ms + longest_ms <= self.time.now_ms)
        };
        worker.attempts.values().copied().partition(is_over)
    }
}
