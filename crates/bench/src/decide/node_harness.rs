//! Runs one real node against a simulated store, simulated peers and a host list.

use {
    super::{
        cell::{CellPlan, CellSize, NODE, PEER_BOOT_NUMBER, WORKER},
        meter::{MeterLabel, TickCost, TickMeter, resident_mb},
    },
    anyhow::{Context, Result},
    bytes::BytesMut,
    damaskrack_model::{ClockTime, Epoch, MemberName, NameError, Resources},
    damaskrack_node::{NodeAction, NodeConfig, NodeInput, SchedulerNode},
    damaskrack_outside::{HostRow, StoreCall, StoreReply},
    damaskrack_standin::{StorePlan, StoreTable},
    damaskrack_wire::{PeerCodec, PeerFrame, PeerMessage, RackSummary, TeamDigest},
    std::time::{Duration, Instant},
    tokio_util::codec::Encoder,
};

/// Interval of heartbeats, and of digests while they change, in milliseconds.
const HEARTBEAT_INTERVAL_MS: u64 = 500;

/// Interval of digests that do not change, in milliseconds.
const UNCHANGED_DIGEST_INTERVAL_MS: u64 = 2_000;

/// Interval at which the node receives the host list, in milliseconds.
const HOST_LIST_INTERVAL_MS: u64 = 500;

/// Interval of ticks when nothing arrives, in milliseconds.
const TICK_INTERVAL_MS: u64 = 50;

/// Start of simulated time, in Unix milliseconds.
const START_MS: u64 = 1_796_000_000_000;

/// Teams that use resources in each rack of a peer.
const TEAMS_PER_RACK: usize = 3;

/// Whether the cell is under load: peers of a busy cell send digests with every heartbeat, and the
/// node is ticked every millisecond.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CellActivity {
    Idle,
    Busy,
}

/// A node with its simulated store and peers and the meter of its ticks.
#[derive(Debug)]
pub(super) struct NodeHarness {
    pub(super) size: CellSize,
    pub(super) now_ms: u64,
    node: SchedulerNode,
    store: StoreTable,
    /// Open watch of the store: call number, request and the time at which it ends.
    watch: Option<(u64, StoreCall, u64)>,
    pub(super) inputs: Vec<NodeInput>,
    hosts: Vec<HostRow>,
    /// Clock value of the node's last heartbeat, which the peers echo.
    last_heartbeat_ms: u64,
    summaries: Vec<Vec<RackSummary>>,
    digests: Vec<Vec<TeamDigest>>,
    meter: TickMeter,
    codec: PeerCodec,
    buffer: BytesMut,
    /// Resident memory of the process before the node was made, negated.
    resident_mb: f64,
}

impl NodeHarness {
    pub(super) fn new(plan: &CellPlan) -> Result<Self> {
        let size = plan.size;
        let before_mb = resident_mb();
        let mut store = StoreTable::new(StorePlan {
            writes_per_s: u32::MAX,
            reads_per_s: u32::MAX,
            ..StorePlan::default()
        });
        for write in plan.records()? {
            store.handle(&write, START_MS);
        }
        let address = "127.0.0.1:7000".parse().context("a fixed address")?;
        let config = NodeConfig::new(NODE.parse()?, "zone-0".parse()?, address, 7);
        let (summaries, digests) = (peer_summaries(plan)?, peer_digests(plan));
        let mut harness = Self {
            size,
            now_ms: START_MS,
            node: SchedulerNode::new(config),
            store,
            watch: None,
            inputs: Vec::new(),
            hosts: plan.hosts()?,
            last_heartbeat_ms: 0,
            summaries,
            digests,
            meter: TickMeter::new(),
            codec: PeerCodec::new(),
            buffer: BytesMut::new(),
            resident_mb: 0.0,
        };
        harness.inputs.push(NodeInput::Hosts { rows: harness.hosts.clone() });
        for peer in 1..size.daemons() {
            let member = format!("node-{peer}").parse()?;
            harness.inputs.push(NodeInput::PeerUp { member, boot: PEER_BOOT_NUMBER });
        }
        harness.resident_mb = -before_mb;
        Ok(harness)
    }

    /// Discards the measurements so far.
    pub(super) fn reset_meter(&mut self) {
        self.meter = TickMeter::new();
    }

    /// Returns the cost of the ticks since the last reset.
    pub(super) fn cost(&self, side: &'static str, offered_per_s: u64, run_ms: u64) -> TickCost {
        self.meter.cost(MeterLabel {
            side,
            size: self.size,
            offered_per_s,
            run_ms,
            resident_mb: resident_mb() + self.resident_mb,
        })
    }

    /// Advances the time by a millisecond. The node is ticked if it has inputs, its regular tick is
    /// due or the cell is busy. Returns the node's actions except its store calls.
    pub(super) fn step(&mut self, activity: CellActivity, decisions: u64) -> Vec<NodeAction> {
        self.now_ms += 1;
        self.complete_due_watch();
        self.push_periodic_inputs(activity);
        let is_due = self.now_ms.is_multiple_of(TICK_INTERVAL_MS);
        if self.inputs.is_empty() && !is_due && activity == CellActivity::Idle {
            return Vec::new();
        }
        let inputs = std::mem::take(&mut self.inputs);
        let started = Instant::now();
        let actions = self.node.tick(ClockTime(self.now_ms), inputs);
        let spent = started.elapsed();
        self.meter.record_tick(Duration::from_millis(self.now_ms), spent, decisions);
        for action in &actions {
            if let NodeAction::Peer { message, .. } = action {
                if let PeerMessage::Heartbeat { clock_ms, .. } = message {
                    self.last_heartbeat_ms = *clock_ms;
                }
                self.encode(message.clone());
            }
        }
        actions.into_iter().filter_map(|action| self.handle_store_call(action)).collect()
    }

    /// Encodes a message as a peer link does and records its length and the time taken.
    fn encode(&mut self, message: PeerMessage) {
        let started = Instant::now();
        self.buffer.clear();
        let frame = PeerFrame::Message(message);
        let is_encoded = self.codec.encode(frame, &mut self.buffer).is_ok();
        let bytes = if is_encoded { self.buffer.len() as u64 } else { 0 };
        self.meter.record_message(bytes, started.elapsed());
    }

    /// Executes a store call; other actions are returned.
    fn handle_store_call(&mut self, action: NodeAction) -> Option<NodeAction> {
        let NodeAction::Store { call, request, .. } = action else { return Some(action) };
        let reply = self.store.handle(&request, self.now_ms);
        let is_empty = matches!(&reply, StoreReply::Events { events, .. } if events.is_empty());
        match &request {
            StoreCall::Watch { wait_ms, .. } if is_empty => {
                let until_ms = self.now_ms + wait_ms;
                self.watch = Some((call, request, until_ms));
            }
            _ => self.inputs.push(NodeInput::Store { call, result: Ok(reply) }),
        }
        None
    }

    /// Completes the open watch if there are events or its time is over.
    fn complete_due_watch(&mut self) {
        let Some((call, StoreCall::Watch { prefixes, since, .. }, until_ms)) = &self.watch else {
            return;
        };
        let reply = self.store.poll_watch(prefixes, *since).or_else(|| {
            let revision = self.store.revision();
            let is_over = self.now_ms >= *until_ms;
            is_over.then(|| StoreReply::Events { events: Vec::new(), revision })
        });
        if let Some(reply) = reply {
            self.inputs.push(NodeInput::Store { call: *call, result: Ok(reply) });
            self.watch = None;
        }
    }

    /// Adds the host list and the messages of peers that are due now to the inputs of the node.
    fn push_periodic_inputs(&mut self, activity: CellActivity) {
        if self.now_ms.is_multiple_of(HOST_LIST_INTERVAL_MS) {
            self.inputs.push(NodeInput::Hosts { rows: self.hosts.clone() });
        }
        let digest_ms = if activity == CellActivity::Busy {
            HEARTBEAT_INTERVAL_MS
        } else {
            UNCHANGED_DIGEST_INTERVAL_MS
        };
        for peer in 1..self.size.daemons() {
            let phase = peer as u64 * HEARTBEAT_INTERVAL_MS / self.size.daemons() as u64;
            if self.now_ms % HEARTBEAT_INTERVAL_MS == phase {
                self.push_peer_message(peer, heartbeat(self.now_ms, self.last_heartbeat_ms));
            }
            if self.now_ms % digest_ms == phase {
                let summaries = self.summaries[peer].clone();
                let teams = self.digests[peer].clone();
                self.push_peer_message(peer, PeerMessage::RackDigests { summaries });
                self.push_peer_message(peer, PeerMessage::TeamDigests { teams });
            }
        }
    }

    /// Adds a message of a peer to the inputs of the node.
    pub(super) fn push_peer_message(&mut self, peer: usize, message: PeerMessage) {
        if let Ok(member) = format!("node-{peer}").parse::<MemberName>() {
            self.inputs.push(NodeInput::Peer { member, boot: PEER_BOOT_NUMBER, message });
        }
    }
}

fn heartbeat(now_ms: u64, echo_ms: u64) -> PeerMessage {
    PeerMessage::Heartbeat {
        version: 1,
        store_age_ms: 100,
        heard_store_age_ms: 100,
        sees_receiver: true,
        clock_ms: now_ms,
        echo_ms,
        is_leaving: false,
    }
}

/// Returns the rack summaries that each peer sends.
fn peer_summaries(plan: &CellPlan) -> Result<Vec<Vec<RackSummary>>, NameError> {
    let mut summaries = vec![Vec::new(); plan.size.daemons()];
    let capacity = WORKER.checked_mul(8).unwrap_or(WORKER);
    for (index, rack) in plan.racks.iter().enumerate().filter(|(_, rack)| rack.owner > 0) {
        let team = |step: usize| plan.teams[(index + step) % plan.teams.len()].name.clone();
        summaries[rack.owner].push(RackSummary {
            rack: rack.name.clone(),
            zone: format!("zone-{}", index % 3).parse()?,
            epoch: Epoch(1),
            is_open: true,
            capacity,
            free: WORKER.checked_mul(4).unwrap_or(WORKER),
            free_slots: 1_000,
            largest_free: WORKER,
            largest_worker: WORKER,
            used: (0..TEAMS_PER_RACK).map(|step| (team(step), WORKER)).collect(),
        });
    }
    Ok(summaries)
}

/// Returns the team digests that each peer sends.
fn peer_digests(plan: &CellPlan) -> Vec<Vec<TeamDigest>> {
    let mut digests = vec![Vec::new(); plan.size.daemons()];
    for piece in plan.teams.iter().filter(|piece| piece.owner > 0) {
        let team = piece.name.clone();
        digests[piece.owner].push(TeamDigest { team, running: WORKER, waiting: Resources::ZERO });
    }
    digests
}
