//! Trace of the simulated events, for debugging a failed run.

use std::io::{Write, stdout};

/// Selects the lines that a trace shows.
#[derive(Debug, Clone, Default)]
pub struct TraceFilter {
    /// Show only lines that contain one of these words; all lines if empty.
    pub words: Vec<String>,
    /// Start of the traced time, in milliseconds.
    pub from_ms: u64,
    /// End of the traced time, in milliseconds; 0 for no end.
    pub until_ms: u64,
    /// Whether to show heartbeats, digests, watches and metrics too.
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

    /// Writes a line if it passes the filter; `text` is called only while tracing is on.
    pub(crate) fn line(&self, now_ms: u64, text: impl FnOnce() -> String) {
        let Some(filter) = &self.filter else { return };
        let is_in_time =
            now_ms >= filter.from_ms && (filter.until_ms == 0 || now_ms <= filter.until_ms);
        if !is_in_time {
            return;
        }
        let text = text();
        if filter.words.is_empty() || filter.words.iter().any(|word| text.contains(word.as_str())) {
            // Write errors are ignored: the reader of a pipe may close it early, and the run goes
            // on.
            let _ = writeln!(stdout(), "{:>4}.{:03} {text}", now_ms / 1_000, now_ms % 1_000);
        }
    }
}
