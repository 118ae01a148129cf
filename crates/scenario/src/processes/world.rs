//! A cell of real processes and the records of its run.

use {
    super::{
        ProcessOptions,
        client::{ApiCall, ApiClient, CallOutcome, ManifestResponse},
        daemon::{DaemonLauncher, DaemonProcess, OPERATOR_KEY, node_name},
        platform_servers::PlatformServers,
    },
    crate::{
        observe::{RunHistory, SeenRun, SeenVersion, SeenWorker},
        runner::RunFigures,
        script::{FaultTarget, ManifestEdit, ScenarioScript, ScriptAction, StepTiming},
        world::{CallerBook, WorldRecord, resolve_losses, seen_configs},
    },
    damaskrack_manifest::ManifestDocument,
    damaskrack_standin::{WorkerFaults, common_now_ms},
    http::Method,
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tempfile::TempDir,
    tokio::time::sleep,
};

/// Interval at which a daemon's readiness and manifest version are polled.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);

/// State of one daemon over its restarts.
#[derive(Debug)]
pub(crate) struct NodeSlot {
    pub(crate) launcher: DaemonLauncher,
    pub(crate) process: Option<DaemonProcess>,
    pub(crate) life: u64,
    pub(crate) is_paused: bool,
    pub(crate) is_shutting_down: bool,
    pub(crate) is_ready: bool,
}

/// A caller's call that broke before its response.
#[derive(Debug, Clone, Copy)]
pub(crate) struct BrokenCall {
    pub(crate) node: usize,
    pub(crate) at_ms: u64,
}

/// Mutable state of a run.
#[derive(Debug)]
pub(crate) struct ProcessWorldState {
    pub(crate) nodes: Vec<NodeSlot>,
    pub(crate) book: CallerBook,
    pub(crate) record: WorldRecord,
    pub(crate) documents: Vec<ManifestDocument>,
    pub(crate) broken_calls: Vec<BrokenCall>,
    pub(crate) accepted_changes: u64,
    pub(crate) rng: SmallRng,
    /// Errors of the run itself, such as a daemon that does not start.
    pub(crate) run_errors: Vec<String>,
}

/// Results of a run.
#[derive(Debug)]
pub(crate) struct ProcessRun {
    pub(crate) history: RunHistory,
    pub(crate) figures: RunFigures,
    pub(crate) run_errors: Vec<String>,
}

/// A cell of real processes.
#[derive(Debug)]
pub(crate) struct ProcessWorld {
    pub(crate) script: ScenarioScript,
    pub(crate) platform: PlatformServers,
    pub(crate) client: ApiClient,
    state: Mutex<ProcessWorldState>,
    origin_ms: u64,
    _directory: TempDir,
}

impl ProcessWorld {
    /// Runs a script from start to end.
    pub(crate) async fn run(
        script: &ScenarioScript,
        seed: u64,
        options: &ProcessOptions,
    ) -> anyhow::Result<ProcessRun> {
        let world = Arc::new(Self::new(script, seed, options).await?);
        let nodes = 0..script.cell.nodes;
        let starts = nodes.map(|node| Arc::clone(&world).start_node(node));
        for start in starts.map(tokio::spawn).collect::<Vec<_>>() {
            start.await?;
        }
        for node in 0..script.cell.nodes {
            tokio::spawn(Arc::clone(&world).probe(node));
        }
        tokio::spawn(Arc::clone(&world).run_change(ManifestEdit::Whole, None));
        for (at_ms, action) in world.planned_steps() {
            world.wait_until(at_ms).await;
            Arc::clone(&world).perform_action(action);
        }
        world.wait_until(script.run_ms).await;
        Ok(world.finish())
    }

    /// Starts the stand-ins and prepares the daemons.
    pub(crate) async fn new(
        script: &ScenarioScript,
        seed: u64,
        options: &ProcessOptions,
    ) -> anyhow::Result<Self> {
        anyhow::ensure!(script.chaos.is_empty(), "random faults are for the simulated world");
        // Not seeded: ports must differ between scripts that run concurrently.
        let mut rng = SmallRng::from_os_rng();
        let platform = PlatformServers::start(&script.cell, &mut rng).await?;
        let directory = TempDir::new()?;
        let mut nodes = Vec::new();
        for index in 0..script.cell.nodes {
            let path = directory.path();
            let launcher =
                DaemonLauncher::new(index, &script.cell, &platform, path, options, &mut rng)?;
            nodes.push(NodeSlot {
                launcher,
                process: None,
                life: 0,
                is_paused: false,
                is_shutting_down: false,
                is_ready: false,
            });
        }
        let state = ProcessWorldState {
            nodes,
            book: CallerBook::default(),
            record: WorldRecord::default(),
            documents: Vec::new(),
            broken_calls: Vec::new(),
            accepted_changes: 0,
            rng: SmallRng::seed_from_u64(seed),
            run_errors: Vec::new(),
        };
        Ok(Self {
            script: script.clone(),
            platform,
            client: ApiClient::new(),
            state: Mutex::new(state),
            origin_ms: common_now_ms(),
            _directory: directory,
        })
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, ProcessWorldState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the time since the start of the run, in milliseconds.
    pub(crate) fn now_ms(&self) -> u64 {
        common_now_ms().saturating_sub(self.origin_ms)
    }

    async fn wait_until(&self, at_ms: u64) {
        sleep(Duration::from_millis(at_ms.saturating_sub(self.now_ms()))).await;
    }

    fn planned_steps(&self) -> Vec<(u64, ScriptAction)> {
        let mut steps = Vec::new();
        for step in &self.script.steps {
            match step.timing {
                StepTiming::At(at_ms) => steps.push((at_ms, step.action.clone())),
                StepTiming::Every { every_ms, from_ms, until_ms } => {
                    let interval = usize::try_from(every_ms).unwrap_or(usize::MAX);
                    let times = (from_ms..until_ms).step_by(interval);
                    steps.extend(times.map(|at_ms| (at_ms, step.action.clone())));
                }
            }
        }
        steps.sort_by_key(|(at_ms, _)| *at_ms);
        steps
    }

    fn perform_action(self: Arc<Self>, action: ScriptAction) {
        match action {
            ScriptAction::Fault { fault, for_ms } => self.begin_fault(&fault, for_ms),
            ScriptAction::Submit(plan) => {
                for _ in 0..plan.count {
                    let work = self.lock().book.add(&plan);
                    tokio::spawn(Arc::clone(&self).run_work(work));
                }
            }
            ScriptAction::Cancel { tag } => self.begin_cancel(&tag),
            ScriptAction::Operator { edit, via } => {
                let via = via.and_then(|target| self.resolve_nodes(&target).first().copied());
                tokio::spawn(self.run_change(edit, via));
            }
        }
    }

    /// Returns the nodes that a target currently refers to.
    pub(crate) fn resolve_nodes(&self, target: &FaultTarget) -> Vec<usize> {
        let count = self.script.cell.nodes;
        match target {
            FaultTarget::Node(node) if *node < count => vec![*node],
            FaultTarget::AllNodes => (0..count).collect(),
            FaultTarget::AnyNode => vec![self.lock().rng.random_range(0..count)],
            FaultTarget::OwnerOf(piece) => {
                let owners = self.platform.owners();
                let owner = owners.get(piece).and_then(|record| record.owner.as_ref());
                let is_owner =
                    |node: &usize| owner.is_some_and(|owner| owner.as_str() == node_name(*node));
                (0..count).filter(is_owner).collect()
            }
            _ => Vec::new(),
        }
    }

    /// Chooses the daemon for a caller's connection, as the load balancer does.
    pub(crate) fn choose_entry(&self, via: Option<&FaultTarget>) -> Option<(usize, SocketAddr)> {
        let wanted = via.map(|target| self.resolve_nodes(target));
        let mut state = self.lock();
        let is_eligible = |node: &usize| match &wanted {
            Some(wanted) => wanted.first() == Some(node),
            None => state.nodes[*node].is_ready,
        };
        let eligible: Vec<usize> = (0..state.nodes.len()).filter(is_eligible).collect();
        if eligible.is_empty() {
            return None;
        }
        let index = state.rng.random_range(0..eligible.len());
        let process = state.nodes[eligible[index]].process.as_ref()?;
        Some((eligible[index], process.caller_address))
    }

    /// Polls a daemon's readiness and manifest version.
    async fn probe(self: Arc<Self>, node: usize) {
        loop {
            sleep(PROBE_INTERVAL).await;
            let target = {
                let state = self.lock();
                let slot = &state.nodes[node];
                slot.process.as_ref().map(|process| (slot.life, process.operator_address))
            };
            let Some((life, operator)) = target else { continue };
            let is_ready = self.client.is_ready(operator).await;
            {
                let mut state = self.lock();
                let slot = &mut state.nodes[node];
                slot.is_ready = slot.life == life && slot.process.is_some() && is_ready;
            }
            let call = ApiCall {
                method: Method::GET,
                path: "/v1/manifest",
                key: Some(OPERATOR_KEY),
                idempotency_key: None,
                body: String::new(),
            };
            let asked_ms = self.now_ms();
            let answer = self.client.call::<ManifestResponse>(operator, &call).await;
            // An error response, such as during a shutdown, does not tell which version it holds.
            if let CallOutcome::Answered(ManifestResponse { version, manifest: Some(_) }) = answer {
                self.record_version(SeenVersion { at_ms: asked_ms, node, life, version });
            }
        }
    }

    fn record_version(&self, seen: SeenVersion) {
        let versions = &mut self.lock().record.versions;
        let is_same = |other: &&SeenVersion| (other.node, other.life) == (seen.node, seen.life);
        let last = versions.iter().rev().find(is_same);
        if last.is_none_or(|last| last.version != seen.version) {
            versions.push(seen);
        }
    }

    fn finish(&self) -> ProcessRun {
        let end_ms = self.now_ms();
        for (_, worker) in &self.platform.workers {
            worker.change_faults(&WorkerFaults { freeze: Some(false), ..WorkerFaults::default() });
        }
        let runs = self.collect_runs();
        let mut state = self.lock();
        state.nodes.iter_mut().for_each(|slot| slot.process = None);
        let mut record = std::mem::take(&mut state.record);
        self.count_cut_calls(&mut record, &state.broken_calls);
        record.disturbances.append(&mut record.downs);
        let mut writes = self.platform.store.history();
        writes.iter_mut().for_each(|write| write.at_ms = self.since_origin(write.at_ms));
        resolve_losses(&writes.iter().collect::<Vec<_>>(), &mut record.losses);
        let stats = self.platform.store.stats();
        let mut figures = RunFigures {
            faults: record.faults,
            store_calls: stats.reads() + stats.writes(),
            ..RunFigures::default()
        };
        let cell = &self.script.cell;
        let worker = |(worker, _): &(damaskrack_model::WorkerName, _)| SeenWorker {
            worker: worker.clone(),
            capacity: cell.capacity,
            slots: cell.slots,
        };
        let history = RunHistory {
            runs,
            workers: self.platform.workers.iter().map(worker).collect(),
            works: state.book.works.iter().map(|row| row.seen.clone()).collect(),
            configs: seen_configs(writes.iter(), &state.documents, &record.accepted),
            versions: record.versions,
            disturbances: record.disturbances,
            leavings: record.leavings,
            shutdowns: record.shutdowns,
            losses: record.losses,
            stray_answers: Vec::new(),
            accepted_changes: state.accepted_changes,
            nodes: cell.nodes,
            lives: record.lives,
            end_ms,
        };
        figures.count_seen(&history);
        ProcessRun { history, figures, run_errors: std::mem::take(&mut state.run_errors) }
    }

    fn since_origin(&self, at_ms: u64) -> u64 {
        at_ms.saturating_sub(self.origin_ms)
    }

    fn collect_runs(&self) -> Vec<SeenRun> {
        let mut runs = Vec::new();
        for (_, worker) in &self.platform.workers {
            // Outputs are read after the runs, so every run has an output.
            let observations = worker.observations();
            for (mut run, token) in observations.into_iter().zip(worker.outputs()) {
                run.start_ms = self.since_origin(run.start_ms);
                run.end_ms = run.end_ms.map(|end_ms| self.since_origin(end_ms));
                runs.push(SeenRun { run, token });
            }
        }
        runs.sort_by_key(|seen| seen.run.start_ms);
        runs
    }

    /// Counts the calls that broke between the request to shut down and the end of the process.
    fn count_cut_calls(&self, record: &mut WorldRecord, broken_calls: &[BrokenCall]) {
        for shutdown in &mut record.shutdowns {
            let ended_ms = shutdown.ended_ms.unwrap_or(u64::MAX).saturating_add(EXIT_MARGIN_MS);
            let is_cut = |seen: &&BrokenCall| {
                seen.node == shutdown.node && (shutdown.asked_ms..=ended_ms).contains(&seen.at_ms)
            };
            shutdown.cut_calls = broken_calls.iter().filter(is_cut).count();
        }
    }
}

/// Time after the end of a process within which a caller notices it, in milliseconds.
const EXIT_MARGIN_MS: u64 = 500;
