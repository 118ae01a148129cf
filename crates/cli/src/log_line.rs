//! Parsing of daemon log lines.

use {
    chrono::DateTime,
    serde::{Deserialize, Serialize},
};

/// A line of a daemon's log: an event with its time, host, subject and reasons.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize, Serialize)]
pub(crate) struct LogLine {
    #[serde(rename = "msg")]
    pub(crate) event: String,
    /// Timestamp in RFC 3339 format.
    pub(crate) ts: String,
    #[serde(default)]
    pub(crate) host: String,
    #[serde(default)]
    pub(crate) subject: String,
    #[serde(default)]
    pub(crate) detail: String,
    #[serde(default)]
    pub(crate) job: String,
    #[serde(default)]
    pub(crate) result: String,
    #[serde(default)]
    pub(crate) cause: String,
}

impl LogLine {
    /// Parses a line, ignoring any text before the JSON, such as a log collector's timestamp.
    /// Returns `None` if the line is not from a daemon.
    pub(crate) fn parse(text: &str) -> Option<Self> {
        serde_json::from_str(&text[text.find('{')?..]).ok()
    }

    /// Returns the timestamp in Unix microseconds, or 0 if it is malformed.
    pub(crate) fn time_us(&self) -> i64 {
        DateTime::parse_from_rfc3339(&self.ts).map_or(0, |time| time.timestamp_micros())
    }

    /// Returns the job of the line if it has one, else its subject.
    pub(crate) fn entity(&self) -> &str {
        if self.job.is_empty() { &self.subject } else { &self.job }
    }

    /// Returns whether the line is about a job or about a part of it, named `JOB.PART`.
    pub(crate) fn is_about_job(&self, job: &str) -> bool {
        self.entity().split('.').next() == Some(job)
    }

    /// Returns the detail, result and cause of the event as one text.
    pub(crate) fn reason(&self) -> String {
        let parts = [&self.detail, &self.result, &self.cause];
        let parts = parts.iter().map(|part| part.trim()).filter(|part| !part.is_empty());
        parts.collect::<Vec<_>>().join(" ")
    }

    /// Returns the value of a word `name=value` in the detail.
    pub(crate) fn detail_value(&self, name: &str) -> Option<&str> {
        let mut words = self.detail.split(' ').filter_map(|word| word.split_once('='));
        words.find(|(key, _)| *key == name).map(|(_, value)| value)
    }
}
