//! Handles signals of the operating system.

use {
    crate::DaemonControl,
    std::io,
    tokio::signal::unix::{Signal, SignalKind, signal},
};

/// Handlers of the signals that control a daemon.
///
/// Create it before the daemon starts: until then each of these signals kills the process.
#[derive(Debug)]
pub struct SignalWatch {
    terminate: Signal,
    interrupt: Signal,
    dump: Signal,
}

impl SignalWatch {
    /// Installs the signal handlers.
    ///
    /// # Errors
    ///
    /// Returns an error if a handler cannot be installed.
    ///
    /// # Examples
    ///
    /// ```
    /// # #[tokio::main(flavor = "current_thread")]
    /// # async fn main() -> std::io::Result<()> {
    /// let signals = damaskrack_daemon::SignalWatch::new()?;
    /// # drop(signals);
    /// # Ok(())
    /// # }
    /// ```
    pub fn new() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            dump: signal(SignalKind::user_defined1())?,
        })
    }

    /// Shuts the daemon down gracefully on SIGTERM and SIGINT and writes its state to the log on
    /// SIGUSR1, for as long as the task runs.
    pub async fn follow(mut self, control: DaemonControl) {
        loop {
            tokio::select! {
                Some(()) = self.terminate.recv() => control.shutdown().await,
                Some(()) = self.interrupt.recv() => control.shutdown().await,
                Some(()) = self.dump.recv() => control.log_state().await,
                else => return,
            }
        }
    }
}
