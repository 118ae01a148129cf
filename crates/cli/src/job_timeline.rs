//! Timeline of a job, reconstructed from the logs of all daemons.
//!
//! A job's own lines do not explain every delay: the job may have waited for a worker that did not
//! respond or for a new leader. Between the first and the last of these lines, the timeline
//! therefore includes those about the job's workers, the leader and the connection to the store.

use {crate::log_line::LogLine, std::collections::BTreeSet};

/// Log events about the leader and the store.
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

/// Log lines that explain what happened to a job, ordered by time.
#[derive(Debug, Default)]
pub(crate) struct JobTimeline {
    pub(crate) lines: Vec<LogLine>,
}

impl JobTimeline {
    /// Selects the lines that concern a job from the log lines of all daemons.
    pub(crate) fn from_log_lines(job: &str, mut lines: Vec<LogLine>) -> Self {
        lines.sort_by_cached_key(LogLine::time_us);
        let is_own = |line: &LogLine| line.is_about_job(job);
        let Some(first) = lines.iter().position(is_own) else { return Self::default() };
        let last = lines.iter().rposition(is_own).unwrap_or(first);
        let span = &lines[first..=last];
        let workers: BTreeSet<String> = span
            .iter()
            .filter(|line| is_own(line))
            .filter_map(|line| line.detail_value("worker").map(str::to_owned))
            .collect();
        let is_relevant = |line: &LogLine| {
            is_own(line)
                || workers.contains(&line.subject)
                || LEADER_AND_STORE_EVENTS.contains(&line.event.as_str())
        };
        Self { lines: span.iter().filter(|line| is_relevant(line)).cloned().collect() }
    }

    /// Returns the two lines around the longest interval without log lines, and its length in
    /// milliseconds.
    pub(crate) fn longest_gap(&self) -> Option<(&LogLine, &LogLine, i64)> {
        let pairs = self.lines.windows(2);
        let gaps = pairs.map(|pair| {
            let gap_us = pair[1].time_us() - pair[0].time_us();
            (&pair[0], &pair[1], gap_us / 1_000)
        });
        gaps.max_by_key(|gap| gap.2)
    }

    /// Returns the most likely cause of a gap, from the events around it.
    pub(crate) fn likely_cause(before: &LogLine, after: &LogLine) -> &'static str {
        let (before, after) = (before.event.as_str(), after.event.as_str());
        if let Some(cause) = wait_cause(before).or_else(|| wait_cause(after)) {
            return cause;
        }
        match (before, after) {
            // The line is written when the wait begins, so it says nothing of the time before.
            ("step_waits_by_choice", _) => {
                "it waited by choice for a worker or a rack where it runs faster: see which, and until when"
            }
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
            (_, "attempt_lost") => "a worker was lost, until it was known what became of it",
            ("attempt_lost", _) => {
                "a task had just been started on a worker that was lost, and waited to be tried alone"
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

/// Returns what a step waited for, if this event says so.
fn wait_cause(event: &str) -> Option<&'static str> {
    let reason = event.strip_prefix("step_waits_for_")?;
    Some(match reason {
        "free_capacity" => "allowed workers had no free capacity",
        "reserved_capacity" => "free capacity was reserved for steps that are as urgent or more",
        "ticket" => "the adviser had not allowed a worker yet",
        "other_workers" => "the adviser denied all workers that could run it",
        "label" | "service" | "capacity" => "no worker can run it: see the counts by reason",
        "team_limit" => "the team was at its limit",
        "late_start" => "a worker might still carry out an earlier order to start its tasks",
        "gang_members" => "members of the gang were still running",
        "places" => "there were too few places for the gang, or tests of suspects were under way",
        _ => "no worker could take it then: see the counts by reason",
    })
}
