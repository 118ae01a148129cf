//! Observers that check a run's history, as recorded by the stand-ins and the callers.

mod at_most_once;
mod cancelled_work;
mod config_spread;
mod graceful_exit;
mod history;
mod key_team;
mod leaving_worker;
mod lost_job;
mod not_run;
mod observer;
mod single_run;
mod team_limit;
mod whole_answer;
mod withdrawn_key;
mod worker_capacity;
mod zone_out;

pub(crate) use history::{make_token, token_of};
pub use {
    crate::script::BoundPlan,
    at_most_once::AtMostOnce,
    cancelled_work::CancelledWork,
    config_spread::ConfigSpread,
    graceful_exit::GracefulExit,
    history::{
        RunHistory, SeenAnswer, SeenConfig, SeenDisturbance, SeenLeaving, SeenLoss, SeenRun,
        SeenShutdown, SeenTry, SeenVersion, SeenWork, SeenWorker,
    },
    key_team::KeyTeam,
    leaving_worker::LeavingWorker,
    lost_job::LostJob,
    not_run::NotRunTruth,
    observer::{HistoryObserver, Violation},
    single_run::SingleRun,
    team_limit::TeamLimits,
    whole_answer::WholeAnswer,
    withdrawn_key::WithdrawnKey,
    worker_capacity::WorkerCapacity,
    zone_out::ZoneOut,
};

/// Returns one observer for each invariant.
///
/// # Examples
///
/// ```
/// assert_eq!(damaskrack_scenario::every_observer().len(), 14);
/// ```
#[must_use]
pub fn every_observer() -> Vec<Box<dyn HistoryObserver>> {
    vec![
        Box::new(WorkerCapacity),
        Box::new(SingleRun),
        Box::new(KeyTeam),
        Box::new(WithdrawnKey),
        Box::new(TeamLimits),
        Box::new(ZoneOut),
        Box::new(WholeAnswer),
        Box::new(NotRunTruth),
        Box::new(AtMostOnce),
        Box::new(LeavingWorker),
        Box::new(GracefulExit),
        Box::new(ConfigSpread),
        Box::new(LostJob),
        Box::new(CancelledWork),
    ]
}
