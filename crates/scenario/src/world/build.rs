//! Builds a world from a script and a seed, and extracts its history at the end.

use {
    super::{
        CallerBook, CutTable, EventQueue, LinkTable, NodeProcess, PollSchedule, SimStore,
        SimWorker, SimWorld, TraceFilter, TraceLog, WorldEvent, WorldRecord,
    },
    crate::{
        chaos::plan_chaos,
        observe::{RunHistory, SeenConfig, SeenLoss, SeenRun, SeenWorker, token_of},
        runner::RunFigures,
        script::{ManifestEdit, ScenarioScript, StepTiming},
    },
    damaskrack_manifest::{
        HEAD_KEY, ManifestDocument, ManifestHead, ManifestSection, section_hash, section_json,
    },
    damaskrack_model::{MemberName, NameError, RackName, WorkerName, ZoneName},
    damaskrack_outside::{HostRow, HostState},
    damaskrack_ownership::OwnerRecord,
    damaskrack_standin::{CheckpointPlace, HostTable, WorkerPlan, WorkerTable, WriteRecord},
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::{
        collections::BTreeMap,
        net::{Ipv4Addr, SocketAddr},
    },
};

/// Port of every node's peer address; nothing listens there.
const NODE_PORT: u16 = 7_000;

/// Port of every worker's address; nothing listens there.
const WORKER_PORT: u16 = 8_000;

fn address(port: u16, index: usize) -> SocketAddr {
    let [high, low] = u16::try_from(index).unwrap_or(u16::MAX).to_be_bytes();
    SocketAddr::from((Ipv4Addr::new(10, 0, high, low), port))
}

fn zone_name(index: usize) -> Result<ZoneName, NameError> {
    format!("zone-{}", index + 1).parse()
}

impl SimWorld {
    /// Builds a world at time zero.
    ///
    /// # Errors
    ///
    /// Returns an error if a generated name is invalid, which would be a bug in this crate.
    pub(crate) fn new(
        script: &ScenarioScript,
        seed: u64,
        filter: Option<TraceFilter>,
    ) -> Result<Self, NameError> {
        let mut rng = SmallRng::seed_from_u64(seed);
        let nodes = make_nodes(script)?;
        let fleet = make_fleet(script, &mut rng)?;
        let rows = fleet.iter().map(|worker| HostRow {
            worker: worker.worker.clone(),
            rack: worker.rack.clone(),
            zone: worker.table.plan().zone.clone(),
            address: worker.address,
            capacity: worker.table.plan().capacity,
            state: HostState::Live,
        });
        let hosts = HostTable::with_rows(rows, script.cell.host_lag_ms);
        let addresses =
            fleet.iter().enumerate().map(|(index, worker)| (worker.address, index)).collect();
        let mut steps = script.steps.clone();
        steps.extend(plan_chaos(script, &mut rng));
        let mut world = Self {
            script: script.clone(),
            steps,
            now_ms: 0,
            queue: EventQueue::new(),
            rng,
            nodes,
            links: LinkTable::default(),
            cuts: CutTable::default(),
            store: SimStore::new(),
            fleet,
            polls: PollSchedule::default(),
            addresses,
            hosts,
            book: CallerBook::default(),
            changes: Vec::new(),
            documents: Vec::new(),
            active_faults: std::collections::BTreeMap::new(),
            next_fault: 0,
            next_call: 0,
            record: WorldRecord::default(),
            trace: TraceLog::new(filter),
        };
        world.start();
        Ok(world)
    }

    /// Starts the nodes, submits the first manifest and queues the script's steps.
    fn start(&mut self) {
        for node in 0..self.nodes.len() {
            self.start_node(node);
        }
        self.queue.push(1, WorldEvent::LinkCheck);
        self.submit_change(ManifestEdit::Whole, None);
        for index in 0..self.steps.len() {
            match self.steps[index].timing {
                StepTiming::At(at_ms) => self.queue.push(at_ms, WorldEvent::Step { index }),
                StepTiming::Every { every_ms, from_ms, until_ms } => {
                    let mut at_ms = from_ms;
                    while at_ms < until_ms {
                        self.queue.push(at_ms, WorldEvent::Step { index });
                        at_ms += every_ms;
                    }
                }
            }
        }
    }

    /// Builds the history of the run. Frozen workers are unfrozen first, because a frozen worker
    /// does not notice that a lease expired.
    pub(crate) fn take_history(&mut self) -> RunHistory {
        let now_ms = self.now_ms;
        for worker in &mut self.fleet {
            worker.table.set_frozen(false, now_ms);
            worker.table.advance(now_ms);
        }
        let mut record = std::mem::take(&mut self.record);
        record.disturbances.append(&mut record.downs);
        let mut history = RunHistory {
            runs: self.fleet.iter().flat_map(seen_runs).collect(),
            workers: self.fleet.iter().map(seen_worker).collect(),
            works: self.book.works.iter().map(|work| work.seen.clone()).collect(),
            configs: seen_configs(self.store.table.history(), &self.documents, &record.accepted),
            versions: record.versions,
            disturbances: record.disturbances,
            leavings: record.leavings,
            shutdowns: record.shutdowns,
            losses: record.losses,
            stray_answers: record.stray_answers,
            accepted_changes: self.changes.iter().filter(|change| change.is_accepted()).count()
                as u64,
            nodes: self.nodes.len(),
            lives: record.lives,
            end_ms: now_ms,
        };
        history.runs.sort_by_key(|seen| seen.run.start_ms);
        let writes: Vec<_> = self.store.table.history().collect();
        resolve_losses(&writes, &mut history.losses);
        history
    }

    /// Returns the counters of the run that the world keeps.
    pub(crate) fn figures(&self) -> RunFigures {
        let stats = self.store.table.stats();
        RunFigures {
            faults: self.record.faults,
            refused_full: self.record.refused_full,
            refused_stale: self.record.refused_stale,
            refused_expired: self.record.refused_expired,
            store_calls: stats.writes() + stats.reads(),
            messages: self.record.messages,
            caller_messages: self.record.caller_messages,
            ..RunFigures::default()
        }
    }

    /// Dumps the tables of each node that has a process.
    pub(crate) fn dumps(&self) -> Vec<String> {
        let cores = self.nodes.iter().filter_map(|process| process.core.as_ref());
        cores.map(|core| format!("{:#}", core.dump())).collect()
    }
}

/// Returns the manifest versions found in the store's history.
pub(crate) fn seen_configs<'a>(
    writes: impl Iterator<Item = &'a WriteRecord>,
    documents: &[ManifestDocument],
    accepted: &BTreeMap<u64, u64>,
) -> Vec<SeenConfig> {
    let config = |write: &WriteRecord| {
        let head = ManifestHead::from_json(write.value.as_deref()?).ok()?;
        let document = documents.iter().find(|document| matches_head(document, &head))?;
        Some(SeenConfig {
            version: head.version,
            document: document.clone(),
            written_ms: write.at_ms,
            accepted_ms: accepted.get(&head.version).copied(),
        })
    };
    writes.filter(|write| write.key == HEAD_KEY).filter_map(config).collect()
}

/// Sets the time at which each lost owner was replaced, from the store's history.
pub(crate) fn resolve_losses(writes: &[&WriteRecord], losses: &mut [SeenLoss]) {
    for loss in losses {
        let key = loss.piece.store_key();
        let is_later = |write: &&&WriteRecord| {
            let record = write.value.as_deref().map(OwnerRecord::from_json);
            write.key == key && matches!(record, Some(Ok(record)) if record.epoch > loss.epoch)
        };
        loss.replaced_ms = writes.iter().find(is_later).map(|write| write.at_ms);
    }
}

/// Returns whether a manifest head refers to a document. A section's key may carry a prefix before
/// the hash of its content.
fn matches_head(document: &ManifestDocument, head: &ManifestHead) -> bool {
    ManifestSection::ALL.into_iter().all(|section| {
        let hash = section_hash(&section_json(document, section));
        head.sections.get(section.name()).is_some_and(|found| found.ends_with(&hash))
    })
}

fn seen_runs(worker: &SimWorker) -> Vec<SeenRun> {
    let observations = worker.table.observations().iter();
    let seen = |run: &damaskrack_standin::ObservedRun| SeenRun {
        run: run.clone(),
        token: worker
            .payloads
            .get(&run.attempt)
            .map(|payload| token_of(payload))
            .unwrap_or_default(),
    };
    observations.map(seen).collect()
}

fn seen_worker(worker: &SimWorker) -> SeenWorker {
    let plan = worker.table.plan();
    SeenWorker { worker: worker.worker.clone(), capacity: plan.capacity, slots: plan.slots }
}

fn make_nodes(script: &ScenarioScript) -> Result<Vec<NodeProcess>, NameError> {
    (0..script.cell.nodes)
        .map(|index| {
            let member: MemberName = format!("node-{}", index + 1).parse()?;
            let zone = zone_name(index % script.cell.zones)?;
            Ok(NodeProcess::new(member, zone, address(NODE_PORT, index)))
        })
        .collect()
}

fn make_fleet(script: &ScenarioScript, rng: &mut SmallRng) -> Result<Vec<SimWorker>, NameError> {
    let cell = &script.cell;
    let checkpoints = CheckpointPlace::default();
    let mut fleet = Vec::new();
    for index in 0..cell.racks * cell.workers_per_rack {
        let rack_index = index / cell.workers_per_rack;
        let worker: WorkerName = format!("worker-{}", index + 1).parse()?;
        let rack: RackName = format!("rack-{}", rack_index + 1).parse()?;
        let zone = zone_name(rack_index % cell.zones)?;
        let boot = rng.random_range(1..u64::MAX);
        let mut plan = WorkerPlan::new(worker.clone(), zone, cell.capacity, boot);
        plan.slots = cell.slots;
        let table = WorkerTable::new(plan, checkpoints.clone());
        fleet.push(SimWorker::new(worker, rack, address(WORKER_PORT, index), table));
    }
    Ok(fleet)
}
