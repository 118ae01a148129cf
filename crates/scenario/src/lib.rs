//! Deterministic scenario tests: a scripting language, a simulated cell and invariant checks.
//!
//! A script runs the real node logic in one process against a simulated clock, network, store,
//! host list and workers. The same script and seed always give the same verdict.

mod chaos;
mod expect;
mod observe;
mod processes;
mod runner;
mod script;
mod world;

pub use {
    observe::{
        AtMostOnce, BoundPlan, CancelledWork, ConfigSpread, GracefulExit, HistoryObserver, KeyTeam,
        LeavingWorker, LostJob, NotRunTruth, RunHistory, SeenAnswer, SeenConfig, SeenDisturbance,
        SeenLeaving, SeenLoss, SeenRun, SeenShutdown, SeenTry, SeenVersion, SeenWork, SeenWorker,
        SingleRun, TeamLimits, Violation, WholeAnswer, WithdrawnKey, WorkerCapacity, ZoneOut,
        every_observer,
    },
    processes::{
        ProcessFigures, ProcessOptions, UsageFigures, WaitFigures, measure_processes, run_processes,
    },
    runner::{RecordedRun, RunFigures, RunOptions, RunVerdict, record_run, run_script},
    script::{ScenarioScript, ScriptError},
    world::TraceFilter,
};
