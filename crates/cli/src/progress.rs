//! Progress display on a terminal while a command waits.

use {
    damaskrack_model::JobStatus,
    indicatif::{ProgressBar, ProgressStyle},
    std::time::Duration,
};

/// Time between two frames of the spinner.
const SPINNER_TICK_INTERVAL: Duration = Duration::from_millis(100);

/// A progress bar on standard error; draws nothing if that is not a terminal.
#[derive(Debug)]
pub(crate) struct WaitProgress {
    bar: ProgressBar,
}

impl WaitProgress {
    /// Shows a spinner with a message.
    pub(crate) fn spinner(message: &str) -> Self {
        let bar = ProgressBar::new_spinner();
        bar.set_message(message.to_owned());
        bar.enable_steady_tick(SPINNER_TICK_INTERVAL);
        Self { bar }
    }

    /// Shows how many tasks of a job have ended.
    pub(crate) fn show_job(&self, status: &JobStatus) {
        let ended = status.done + status.failed + status.not_run + status.unknown;
        let total = ended + status.queued + status.running;
        if self.bar.length() != Some(u64::from(total)) {
            self.bar.set_length(u64::from(total));
            if let Ok(style) =
                ProgressStyle::with_template("{spinner} {bar:30} {pos}/{len} tasks {msg}")
            {
                self.bar.set_style(style);
            }
        }
        self.bar.set_position(u64::from(ended));
        self.bar.set_message(format!(
            "{} queued, {} running, {} failed {}",
            status.queued, status.running, status.failed, status.detail
        ));
    }
}

impl Drop for WaitProgress {
    fn drop(&mut self) {
        self.bar.finish_and_clear();
    }
}
