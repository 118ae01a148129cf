//! A scheduler core with a backlog that no pass can place.

use {
    damaskrack_cell::{
        AdviceTiming, CellAction, CellConfig, CellCore, CellInput, CellSettings, JobRecord,
        QueueConfig, RenewOutcome, RenewRequest, RenewResponse, ResourceSet, StepSpec, TeamConfig,
        WorkerReport,
    },
    std::{
        hint::black_box,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Number of jobs of each kind in the backlog.
const JOBS: usize = 60;
/// Time between two passes, in milliseconds.
const PASS_MS: u64 = 20;
/// Ticks after which all workers have responded.
const FIRST_TICKS: usize = 600;

/// A core whose workers all respond, with steps that wait.
#[derive(Debug)]
pub(crate) struct PlacementCell {
    core: CellCore,
    now_ms: u64,
    config: Arc<CellConfig>,
}

impl PlacementCell {
    pub(crate) fn new(workers: usize, has_adviser: bool) -> Self {
        let timing = AdviceTiming { call_us: 9_000, worker_us: 100, valid_ms: 1_500 };
        let queue = QueueConfig {
            name: "queue".to_owned(),
            service: "service".to_owned(),
            max_attempts: 2,
            advice: has_adviser.then_some(timing),
            ..QueueConfig::default()
        };
        let mut config = CellConfig { version: 1, ..CellConfig::default() };
        config.queues.insert("queue".to_owned(), queue);
        config.teams.insert("team".to_owned(), TeamConfig::default());
        let (core, config) = (CellCore::new(CellSettings::default()), Arc::new(config));
        let mut cell = Self { core, now_ms: 10_000, config };
        cell.core.set_time(cell.now_ms, cell.now_ms);
        cell.core.apply(CellInput::Config(Arc::clone(&cell.config)));
        cell.core.apply(CellInput::Daemons(vec![1, 2, 3]));
        cell.core.apply(CellInput::EndedKnown);
        cell.core.apply(CellInput::Workers((0..workers).map(report).collect()));
        (0..FIRST_TICKS).for_each(|_| {
            cell.place();
        });
        for number in 0..JOBS {
            for (kind, step) in waiting_steps().into_iter().enumerate() {
                cell.core.apply(CellInput::Accepted(job(&format!("{number}-{kind}"), step)));
            }
        }
        cell
    }

    /// Runs one pass, and returns how long it took.
    pub(crate) fn place(&mut self) -> Duration {
        self.now_ms += PASS_MS;
        self.core.set_time(self.now_ms, self.now_ms);
        self.core.apply(CellInput::WorkersConfirmed { as_of_ms: self.now_ms });
        self.core.apply(CellInput::Config(Arc::clone(&self.config)));
        let start = Instant::now();
        let actions = black_box(self.core.tick(self.now_ms, self.now_ms));
        let took = start.elapsed();
        actions.into_iter().for_each(|action| self.perform(action));
        took
    }

    /// Answers a request. The adviser allows nothing.
    fn perform(&mut self, action: CellAction) {
        match action {
            CellAction::Renew(request) => {
                let response = RenewResponse {
                    incarnation: request.incarnation,
                    clock_ms: self.now_ms,
                    ..RenewResponse::default()
                };
                let outcome = RenewOutcome::Answered(response);
                let RenewRequest { worker, fence, .. } = request;
                self.core.apply(CellInput::RenewFinished { worker, fence, outcome });
            }
            CellAction::RequestAdvice(request) => {
                self.core
                    .apply(CellInput::Advice { call: request.call, allowed: Some(Vec::new()) });
            }
            CellAction::Commit(request) => {
                self.core.apply(CellInput::Committed { lane: request.lane });
            }
            _ => {}
        }
    }
}

fn report(index: usize) -> WorkerReport {
    WorkerReport {
        id: format!("w{index}"),
        incarnation: 1,
        service: "service".to_owned(),
        address: format!("w{index}"),
        zone: "zone".to_owned(),
        labels: vec!["kind".to_owned(), format!("r{}", index % 40)],
        capacity: ResourceSet { cpu_millis: 4_000, memory_mb: 4_096, accelerators: 0 },
        is_leaving: false,
    }
}

/// Returns steps that wait for a label, for free capacity, and as a gang for both with a limit a worker.
fn waiting_steps() -> [StepSpec; 3] {
    let step = StepSpec { tasks: 4, cpu_millis: 1_000, estimate_ms: 500, ..StepSpec::default() };
    let label = "none".to_owned();
    [
        StepSpec { required_label: label.clone(), ..step.clone() },
        StepSpec { cpu_millis: 8_000, ..step.clone() },
        StepSpec { required_label: label, is_gang: true, max_per_worker: 1, ..step },
    ]
}

fn job(id: &str, step: StepSpec) -> JobRecord {
    JobRecord {
        id: id.to_owned(),
        queue: "queue".to_owned(),
        team: "team".to_owned(),
        steps: vec![step],
        accepted_ms: 1,
        service: "service".to_owned(),
        max_attempts: 2,
        ..JobRecord::default()
    }
}
