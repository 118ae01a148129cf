//! What happened to a job, put together from the logs of all daemons.
//!
//! A job's own lines are not enough: it may have waited for a worker that fell silent or for a leader
//! that was being replaced. Lines about the workers that it was sent to, and about who leads and
//! who has lost the store, belong to its story while it lasts.

use {crate::log_line::LogLine, std::collections::BTreeSet};

/// Events about the leader and the store.
const LEADER_AND_STORE_EVENTS: [&str; 8] = [
    "leading",
    "leading_ended",
    "leading_unproven",
    "resigning",
    "resigning_to_stronger",
    "store_lost",
    "store_regained",
    "write_unanswered",
];

/// A job's lines and what belongs to them, in time.
#[derive(Debug, Default)]
pub(crate) struct JobTimeline {
    pub(crate) lines: Vec<LogLine>,
}

impl JobTimeline {
    /// Chooses the lines of a job from those of all daemons.
    pub(crate) fn from_log_lines(job: &str, mut all: Vec<LogLine>) -> Self {
        all.sort_by_cached_key(LogLine::time_us);
        let own = |line: &LogLine| line.is_about_job(job);
        let Some(first) = all.iter().position(own) else { return Self::default() };
        let last = all.iter().rposition(own).unwrap_or(first);
        let span = &all[first..=last];
        let workers: BTreeSet<String> = span
            .iter()
            .filter(|line| own(line))
            .filter_map(|line| line.detail_value("worker").map(str::to_owned))
            .collect();
        let belongs = |line: &LogLine| {
            own(line)
                || workers.contains(&line.subject)
                || LEADER_AND_STORE_EVENTS.contains(&line.event.as_str())
        };
        Self { lines: span.iter().filter(|line| belongs(line)).cloned().collect() }
    }

    /// Returns the two lines around the longest time in which nothing was logged, and that time in
    /// milliseconds.
    pub(crate) fn longest_gap(&self) -> Option<(&LogLine, &LogLine, i64)> {
        let pairs = self.lines.windows(2);
        let gaps = pairs.map(|pair| {
            let gap_us = pair[1].time_us() - pair[0].time_us();
            (&pair[0], &pair[1], gap_us / 1_000)
        });
        gaps.max_by_key(|gap| gap.2)
    }

    /// Says what a gap most likely was spent on.
    pub(crate) fn likely_cause(before: &LogLine, after: &LogLine) -> &'static str {
        match (before.event.as_str(), after.event.as_str()) {
            ("job_taken" | "submit", "advice") => "the adviser was asked, or its askers were busy",
            ("advice", "advice" | "phase_placed") => {
                "allowed workers had no room, or the team was at its limit"
            }
            ("advice", "job_taken" | "submit") | ("job_taken", "submit") => "the row was written",
            ("phase_placed", "ticket_outdated") => "the store was slow to write the row",
            ("phase_placed", "start_unanswered") => "a worker did not answer its order",
            ("start_unanswered" | "worker_silent", _) => {
                "a worker was silent, and its leases had to run out"
            }
            ("phase_placed" | "advice", "job_ended") => "the tasks ran",
            ("store_lost" | "write_unanswered", _) => "the store gave no usable answer",
            ("leading_ended" | "resigning" | "resigning_to_stronger", _) | (_, "leading") => {
                "the leader was being replaced"
            }
            _ => "unknown: read the lines around it",
        }
    }
}
