//! A line for each event, for finding out why a run went wrong.

use std::io::{Write, stdout};

/// What a trace shows.
#[derive(Debug, Clone, Default)]
pub struct TraceFilter {
    /// Only lines that contain one of these; all if empty.
    pub words: Vec<String>,
    /// First millisecond.
    pub from_ms: u64,
    /// Last millisecond; 0 for no end.
    pub until_ms: u64,
    /// Whether heartbeats, digests, watches and metrics are shown too.
    pub is_verbose: bool,
}

/// Writes the lines that pass a filter to standard output.
#[derive(Debug, Default)]
pub(crate) struct TraceLog {
    filter: Option<TraceFilter>,
}

impl TraceLog {
    pub(crate) fn new(filter: Option<TraceFilter>) -> Self {
        Self { filter }
    }

    pub(crate) fn is_verbose(&self) -> bool {
        self.filter.as_ref().is_some_and(|filter| filter.is_verbose)
    }

    /// Writes a line; the text is only made when something is traced.
    pub(crate) fn line(&self, now_ms: u64, text: impl FnOnce() -> String) {
        let Some(filter) = &self.filter else { return };
        let is_in_time =
            now_ms >= filter.from_ms && (filter.until_ms == 0 || now_ms <= filter.until_ms);
        if !is_in_time {
            return;
        }
        let text = text();
        if filter.words.is_empty() || filter.words.iter().any(|word| text.contains(word.as_str())) {
            // A reader that closed the pipe has seen enough; the run itself goes on.
            let _ = writeln!(stdout(), "{:>4}.{:03} {text}", now_ms / 1_000, now_ms % 1_000);
        }
    }
}
