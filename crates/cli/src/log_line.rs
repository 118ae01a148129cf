//! A line of a daemon's log.

use {
    chrono::DateTime,
    serde::{Deserialize, Serialize},
};

/// A line of a daemon's log: what happened, when, where and why.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize, Serialize)]
pub(crate) struct LogLine {
    #[serde(rename = "msg")]
    pub(crate) event: String,
    /// Time, as in RFC 3339.
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
    /// Reads a line; what stands before the JSON, such as a collector's own time, is ignored.
    /// `None` if the line is not a daemon's.
    pub(crate) fn parse(text: &str) -> Option<Self> {
        serde_json::from_str(&text[text.find('{')?..]).ok()
    }

    /// When it was written, in Unix microseconds; 0 if that cannot be read.
    pub(crate) fn time_us(&self) -> i64 {
        DateTime::parse_from_rfc3339(&self.ts).map_or(0, |time| time.timestamp_micros())
    }

    /// Returns what it is about.
    pub(crate) fn entity(&self) -> &str {
        if self.job.is_empty() { &self.subject } else { &self.job }
    }

    /// Tells whether it is about a job or a part of it.
    pub(crate) fn is_about_job(&self, job: &str) -> bool {
        self.entity().split('.').next() == Some(job)
    }

    /// Why it came to that, as far as the line says.
    pub(crate) fn reason(&self) -> String {
        let parts = [&self.detail, &self.result, &self.cause];
        let parts = parts.iter().map(|part| part.trim()).filter(|part| !part.is_empty());
        parts.collect::<Vec<_>>().join(" ")
    }

    /// Value of a word `name=value` in its detail.
    pub(crate) fn detail_value(&self, name: &str) -> Option<&str> {
        let mut words = self.detail.split(' ').filter_map(|word| word.split_once('='));
        words.find(|(key, _)| *key == name).map(|(_, value)| value)
    }
}
