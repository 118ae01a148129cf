//! Signals of the operating system.

use {
    crate::DaemonControl,
    std::io,
    tokio::signal::unix::{Signal, SignalKind, signal},
};

/// The signals that a daemon follows.
///
/// It is made before the daemon starts: until then each of these signals ends the process at once.
#[derive(Debug)]
pub struct SignalWatch {
    terminate: Signal,
    interrupt: Signal,
    dump: Signal,
}

impl SignalWatch {
    /// Begins to collect signals.
    ///
    /// # Errors
    ///
    /// Returns why a signal cannot be listened for.
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

    /// Turns SIGTERM and SIGINT into a graceful shutdown and SIGUSR1 into a dump to the log, for
    /// as long as the task runs.
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
