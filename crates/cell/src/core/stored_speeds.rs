//! Learned speeds and run times in the store, for the next leader.
//!
//! Speed belongs to the machine, so it is kept by the worker's id, also while the worker is not registered. The
//! row is written every few seconds at most, and only if something has changed that decides anything.

use {
    super::CellCore,
    crate::{
        WorkerSpeedsRecord,
        table::{WorkerEntry, WorkerSpeed},
    },
    rustc_hash::FxHashMap,
};

/// Minimum time between two writes, in milliseconds. A takeover loses what was learned meanwhile.
const WRITE_INTERVAL_MS: u64 = 5_000;
/// Time after which the row is written again although nothing has changed, in milliseconds, so that its age
/// shows whether it is in use.
const REFRESH_INTERVAL_MS: u64 = 600_000;
/// Age from which the row counts as outdated, in milliseconds: no leader has refreshed it for an hour, and the
/// machines may have been replaced.
const MAX_AGE_MS: u64 = 3_600_000;
/// Change of a queue's logarithm that is worth a write: a tenth.
const NOTICEABLE_RATIO: f64 = 0.1;
/// Size of the workers' part of the row up to which workers are added, in bytes. Rows stay below 1 MB.
const MAX_WORKERS_BYTES: usize = 900_000;
/// Bytes of a worker's record without its id, at most.
const RECORD_BYTES: usize = 20;

/// What the store has, and the speeds of workers that are not registered.
#[derive(Debug, Default)]
pub(super) struct StoredSpeeds {
    written_ms: Option<u64>,
    /// Logarithms of the ratios in the row, by queue.
    ratios: FxHashMap<String, f64>,
    is_write_due: bool,
    former: FxHashMap<String, FormerSpeed>,
}

/// Speed of a worker that is not registered.
#[derive(Debug, Clone, Copy)]
struct FormerSpeed {
    speed: WorkerSpeed,
    /// Time since which it is not.
    since_ms: u64,
}

impl StoredSpeeds {
    /// Returns whether the row should be written.
    pub(super) fn is_write_due(&self) -> bool {
        self.is_write_due
    }

    /// Takes the speed of a worker that registers; the default if none is known.
    pub(super) fn take(&mut self, id: &str) -> WorkerSpeed {
        let former = self.former.remove(id);
        former.map_or_else(WorkerSpeed::default, |former| former.speed.restarted())
    }

    /// Keeps the speed of a worker that is removed.
    pub(super) fn keep(&mut self, id: &str, speed: WorkerSpeed, since_ms: u64) {
        if speed.is_worth_keeping() {
            self.former.insert(id.to_owned(), FormerSpeed { speed, since_ms });
        }
    }

    /// Returns whether enough time has passed for another write.
    fn may_write(&self, now_ms: u64) -> bool {
        self.written_ms.is_none_or(|written_ms| now_ms >= written_ms + WRITE_INTERVAL_MS)
    }

    /// Returns whether the row is about to look outdated.
    fn needs_refresh(&self, now_ms: u64) -> bool {
        self.written_ms.is_some_and(|written_ms| now_ms >= written_ms + REFRESH_INTERVAL_MS)
    }
}

impl CellCore {
    /// Takes over the speeds that a former leader has written. The workers should be known before.
    ///
    /// ```
    /// use damaskrack_cell::{CellCore, WorkerSpeedsRecord};
    ///
    /// let mut core = CellCore::new(Default::default());
    /// core.set_time(1_000, 1_700_000_000_000);
    /// core.restore_worker_speeds(&WorkerSpeedsRecord::default());
    /// ```
    pub fn restore_worker_speeds(&mut self, record: &WorkerSpeedsRecord) {
        if self.time.wall_ms.saturating_sub(record.written_ms) > MAX_AGE_MS {
            self.log("worker_speeds_outdated", "", format!("written_ms={}", record.written_ms));
            return;
        }
        let since_ms = self.time.now_ms;
        for own in &record.workers {
            let speed = WorkerSpeed::restore(own);
            match self.worker_ids.get(&own.worker) {
                Some(&key) => *self.workers[key].speed = speed,
                None => self.stored_speeds.keep(&own.worker, speed, since_ms),
            }
        }
        for own in &record.queues {
            let ratio = self.run_times.restore(own);
            self.stored_speeds.ratios.insert(own.queue.clone(), ratio);
        }
        self.stored_speeds.written_ms = Some(since_ms);
        let detail = format!("workers={} queues={}", record.workers.len(), record.queues.len());
        self.log("worker_speeds_inherited", "", detail);
    }

    /// Finds out whether the row should be written.
    pub(super) fn review_stored_speeds(&mut self) {
        let now_ms = self.time.now_ms;
        self.stored_speeds.former.retain(|_, former| now_ms < former.since_ms + MAX_AGE_MS);
        if !self.settings.features.worker_speed || !self.stored_speeds.may_write(now_ms) {
            return;
        }
        let has_changed = |worker: &WorkerEntry| worker.speed.has_noticeable_change();
        self.stored_speeds.is_write_due = self.stored_speeds.needs_refresh(now_ms)
            || self.workers.values().any(has_changed)
            || self.have_ratios_changed();
    }

    /// Returns whether the ratio of a queue differs noticeably from the one in the row.
    fn have_ratios_changed(&self) -> bool {
        self.run_times.iter().any(|(queue, ratio)| {
            let stored = self.stored_speeds.ratios.get(queue).copied().unwrap_or_default();
            (ratio.log_ratio() - stored).abs() >= NOTICEABLE_RATIO
        })
    }

    /// Returns the row to write.
    pub(super) fn take_worker_speeds(&mut self) -> WorkerSpeedsRecord {
        let mut row =
            WorkerSpeedsRecord { written_ms: self.time.wall_ms, ..WorkerSpeedsRecord::default() };
        let mut bytes = 0;
        let mut add = |id: &str, speed: &WorkerSpeed| {
            bytes += id.len() + RECORD_BYTES;
            if bytes <= MAX_WORKERS_BYTES {
                row.workers.push(speed.record(id));
            }
        };
        let workers = self.workers.values_mut();
        for worker in workers.filter(|worker| worker.speed.is_worth_keeping()) {
            add(&worker.report.id, &worker.speed);
            worker.speed.record_stored();
        }
        for (id, former) in &self.stored_speeds.former {
            add(id, &former.speed);
        }
        let queues = self.run_times.iter();
        row.queues = queues.map(|(queue, ratio)| ratio.record(queue)).collect();
        let ratios = self.run_times.iter();
        self.stored_speeds.ratios =
            ratios.map(|(queue, ratio)| (queue.clone(), ratio.log_ratio())).collect();
        self.stored_speeds.written_ms = Some(self.time.now_ms);
        self.stored_speeds.is_write_due = false;
        row
    }
}
