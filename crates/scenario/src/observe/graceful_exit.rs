//! Observer: a graceful shutdown breaks off no request.

use crate::observe::{BoundPlan, HistoryObserver, RunHistory, Violation};

/// Checks that a graceful shutdown breaks off no request.
#[derive(Debug)]
pub struct GracefulExit;

impl HistoryObserver for GracefulExit {
    fn point(&self) -> &'static str {
        "graceful-exit"
    }

    fn check(&self, history: &RunHistory, _bounds: &BoundPlan) -> Vec<Violation> {
        let cut = history.shutdowns.iter();
        let cut = cut.filter(|shutdown| shutdown.cut_calls > 0 && !shutdown.is_spoiled);
        cut.map(|shutdown| {
            let detail =
                format!("node-{} left {} callers waiting", shutdown.node + 1, shutdown.cut_calls);
            self.violation(shutdown.ended_ms.unwrap_or(shutdown.asked_ms), detail)
        })
        .collect()
    }
}
