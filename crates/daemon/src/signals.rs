//! Signals of the operating system.

use {
    crate::DaemonControl,
    tokio::signal::unix::{SignalKind, signal},
};

/// Turns SIGTERM and SIGINT into a graceful shutdown and SIGUSR1 into a dump to the log, for as
/// long as the task runs.
///
/// # Errors
///
/// Returns why a signal cannot be listened for.
pub async fn follow_signals(control: DaemonControl) -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut dump = signal(SignalKind::user_defined1())?;
    loop {
        tokio::select! {
            Some(()) = terminate.recv() => control.shutdown().await,
            Some(()) = interrupt.recv() => control.shutdown().await,
            Some(()) = dump.recv() => control.log_state().await,
            else => return Ok(()),
        }
    }
}
