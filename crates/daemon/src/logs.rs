//! The log, in JSON or plain text, written by a separate thread.
//!
//! A slow terminal or pipe must not block the driver, so lines that do not fit into the queue are
//! dropped and their number is reported.

use {
    crate::{LogFormat, LogSettings, LogThreshold},
    damaskrack_node::{LogField, LogLevel, LogLine},
    slog::{Drain, KV, Level, LevelFilter, Logger, Never, Record, Serializer, o},
    slog_async::{Async, AsyncGuard, OverflowStrategy},
    std::io::{Write, stderr},
};

/// Maximum number of lines that wait to be written.
const LOG_QUEUE_CAPACITY: usize = 4_096;

/// A logger with the guard that flushes its queue when it is dropped.
#[derive(Debug)]
pub struct DaemonLog {
    /// The logger.
    pub logger: Logger,
    _guard: Option<GuardCell>,
}

/// Wraps the guard to implement `Debug`, which slog-async's does not.
struct GuardCell {
    _guard: AsyncGuard,
}

impl std::fmt::Debug for GuardCell {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("GuardCell")
    }
}

impl DaemonLog {
    /// Creates a logger that writes to the standard error stream.
    ///
    /// # Examples
    ///
    /// ```
    /// use damaskrack_daemon::{DaemonLog, LogSettings};
    ///
    /// let log = DaemonLog::to_stderr(LogSettings::default());
    /// drop(log);
    /// ```
    #[must_use]
    pub fn to_stderr(settings: LogSettings) -> Self {
        Self::to_writer(settings, stderr())
    }

    /// Creates a logger that writes to `writer`.
    #[must_use]
    pub fn to_writer(settings: LogSettings, writer: impl Write + Send + 'static) -> Self {
        match settings.format {
            LogFormat::Json => {
                let drain = slog_json::Json::new(writer).add_default_keys().set_flush(true);
                Self::with_drain(settings.level, drain.build().ignore_res())
            }
            LogFormat::Terminal => {
                let drain = slog_term::FullFormat::new(slog_term::PlainDecorator::new(writer));
                Self::with_drain(settings.level, drain.build().ignore_res())
            }
        }
    }

    /// Creates a logger that discards everything.
    #[must_use]
    pub fn discard() -> Self {
        Self { logger: Logger::root(slog::Discard, o!()), _guard: None }
    }

    fn with_drain(
        threshold: LogThreshold,
        drain: impl Drain<Ok = (), Err = Never> + Send + 'static,
    ) -> Self {
        let (drain, guard) = Async::new(drain)
            .chan_size(LOG_QUEUE_CAPACITY)
            .overflow_strategy(OverflowStrategy::DropAndReport)
            .build_with_guard();
        let drain = LevelFilter::new(drain.fuse(), min_level(threshold));
        let drain = slog::Filter::new(drain, move |_: &Record<'_>| threshold != LogThreshold::Off);
        let logger = Logger::root(drain.ignore_res(), o!());
        Self { logger, _guard: Some(GuardCell { _guard: guard }) }
    }
}

fn min_level(threshold: LogThreshold) -> Level {
    match threshold {
        LogThreshold::Debug => Level::Debug,
        LogThreshold::Info => Level::Info,
        LogThreshold::Warning => Level::Warning,
        LogThreshold::Error | LogThreshold::Off => Level::Error,
    }
}

/// The fields of a log line of the core.
struct FieldList<'a>(&'a [LogField]);

impl KV for FieldList<'_> {
    fn serialize(&self, _: &Record<'_>, serializer: &mut dyn Serializer) -> slog::Result {
        self.0.iter().try_for_each(|field| serializer.emit_str(field.name, &field.value))
    }
}

/// Writes a log line of the core.
pub(crate) fn write_line(logger: &Logger, line: &LogLine) {
    let fields = FieldList(&line.fields);
    match line.level {
        LogLevel::Debug => slog::debug!(logger, "{}", line.event; fields),
        LogLevel::Info => slog::info!(logger, "{}", line.event; fields),
        LogLevel::Warning => slog::warn!(logger, "{}", line.event; fields),
        LogLevel::Error => slog::error!(logger, "{}", line.event; fields),
    }
}
