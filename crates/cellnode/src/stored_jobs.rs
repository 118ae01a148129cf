//! The rows of jobs that a new leader reads.

use {
    crate::{
        StoreItem,
        rows::{JOB_PREFIX, PROGRESS_PREFIX, decode_row},
    },
    damaskrack_cell::{JobRecord, ProgressRecord},
    rustc_hash::{FxHashMap, FxHashSet},
    slog::{Logger, warn},
};

/// Decodes the row of an accepted job; `None` if it is damaged.
pub(crate) fn decode_job(item: &StoreItem, logger: &Logger) -> Option<JobRecord> {
    let record: JobRecord = decode_row(item, logger)?;
    if item.key.strip_prefix(JOB_PREFIX) == Some(&record.id) {
        return Some(record);
    }
    warn!(logger, "row_unreadable"; "key" => &item.key, "error" => "the row of another job");
    None
}

/// The jobs in the store.
#[derive(Debug, Default)]
pub(crate) struct StoredJobs {
    /// Accepted jobs, with their progress if there is any.
    pub(crate) jobs: Vec<(JobRecord, Option<ProgressRecord>)>,
    /// The progress of jobs that have no row of their own any more, by id.
    pub(crate) ended: FxHashMap<String, ProgressRecord>,
}

impl StoredJobs {
    /// Decodes the rows of accepted jobs and of their progress. A job of which either row is damaged is left
    /// out: without its progress, tasks that run or have completed would be started again.
    pub(crate) fn decode(jobs: &[StoreItem], progress: &[StoreItem], logger: &Logger) -> Self {
        let mut ended = FxHashMap::default();
        let mut damaged: FxHashSet<&str> = FxHashSet::default();
        for item in progress {
            let Some(id) = item.key.strip_prefix(PROGRESS_PREFIX) else { continue };
            match decode_row::<ProgressRecord>(item, logger) {
                Some(row) => drop(ended.insert(id.to_owned(), row)),
                None => drop(damaged.insert(id)),
            }
        }
        let records = jobs.iter().filter_map(|item| decode_job(item, logger));
        let records = records.filter(|record| !damaged.contains(&*record.id));
        let jobs = records.map(|record| {
            let row = ended.remove(&record.id);
            (record, row)
        });
        Self { jobs: jobs.collect(), ended }
    }
}

#[cfg(test)]
mod tests;
