//! One real node with a fake store, fake peers and a host list.

use {
    super::{
        cell::{CellPlan, CellSize, NODE, PEER_BOOT, WORKER},
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
const HEARTBEAT_MS: u64 = 500;

/// Interval of digests that do not change, in milliseconds.
const REFRESH_MS: u64 = 2_000;

/// Interval at which the host list is read, in milliseconds.
const HOSTS_MS: u64 = 500;

/// Interval of ticks when nothing arrives, in milliseconds.
const TICK_MS: u64 = 50;

/// First moment of simulated time, in Unix milliseconds.
const START_MS: u64 = 1_796_000_000_000;

/// Teams with work in each rack.
const TEAMS_PER_RACK: usize = 3;

/// Whether the cell's digests change all the time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CellMood {
    Idle,
    Busy,
}

/// A node and what surrounds it.
#[derive(Debug)]
pub(super) struct NodeRig {
    pub(super) size: CellSize,
    pub(super) now_ms: u64,
    node: SchedulerNode,
    store: StoreTable,
    watch: Option<(u64, StoreCall, u64)>,
    pub(super) inputs: Vec<NodeInput>,
    hosts: Vec<HostRow>,
    /// Clock reading of the node's last heartbeat, which the peers echo.
    beat_ms: u64,
    summaries: Vec<Vec<RackSummary>>,
    digests: Vec<Vec<TeamDigest>>,
    meter: TickMeter,
    codec: PeerCodec,
    buffer: BytesMut,
    resident_mb: f64,
}

impl NodeRig {
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
        let (summaries, digests) = (rack_rows(plan)?, team_rows(plan));
        let mut rig = Self {
            size,
            now_ms: START_MS,
            node: SchedulerNode::new(config),
            store,
            watch: None,
            inputs: Vec::new(),
            hosts: plan.hosts()?,
            beat_ms: 0,
            summaries,
            digests,
            meter: TickMeter::new(),
            codec: PeerCodec::new(),
            buffer: BytesMut::new(),
            resident_mb: 0.0,
        };
        rig.inputs.push(NodeInput::Hosts { rows: rig.hosts.clone() });
        for peer in 1..size.daemons() {
            let member = format!("node-{peer}").parse()?;
            rig.inputs.push(NodeInput::PeerUp { member, boot: PEER_BOOT });
        }
        rig.resident_mb = -before_mb;
        Ok(rig)
    }

    /// Begins to measure anew.
    pub(super) fn reset_meter(&mut self) {
        self.meter = TickMeter::new();
    }

    /// Returns what was measured.
    pub(super) fn cost(&self, side: &'static str, offered_per_s: u64, run_ms: u64) -> TickCost {
        self.meter.cost(MeterLabel {
            side,
            size: self.size,
            offered_per_s,
            run_ms,
            resident_mb: resident_mb() + self.resident_mb,
        })
    }

    /// Passes a millisecond; the node is ticked if something has arrived, the regular tick is due
    /// or the cell is busy. Returns what it wants done besides store calls.
    pub(super) fn step(&mut self, mood: CellMood, decisions: u64) -> Vec<NodeAction> {
        self.now_ms += 1;
        self.answer_watch();
        self.arrive(mood);
        let is_due = self.now_ms.is_multiple_of(TICK_MS);
        if self.inputs.is_empty() && !is_due && mood == CellMood::Idle {
            return Vec::new();
        }
        let inputs = std::mem::take(&mut self.inputs);
        let started = Instant::now();
        let actions = self.node.tick(ClockTime(self.now_ms), inputs);
        let spent = started.elapsed();
        self.meter.add(Duration::from_millis(self.now_ms), spent, decisions);
        for action in &actions {
            if let NodeAction::Peer { message, .. } = action {
                if let PeerMessage::Heartbeat { clock_ms, .. } = message {
                    self.beat_ms = *clock_ms;
                }
                self.encode(message.clone());
            }
        }
        actions.into_iter().filter_map(|action| self.take_store(action)).collect()
    }

    /// Encodes a message as a link would and counts its bytes and the time.
    fn encode(&mut self, message: PeerMessage) {
        let started = Instant::now();
        self.buffer.clear();
        let frame = PeerFrame::Message(message);
        let is_encoded = self.codec.encode(frame, &mut self.buffer).is_ok();
        let bytes = if is_encoded { self.buffer.len() as u64 } else { 0 };
        self.meter.add_message(bytes, started.elapsed());
    }

    fn take_store(&mut self, action: NodeAction) -> Option<NodeAction> {
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

    fn answer_watch(&mut self) {
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

    /// Puts what the peers and the host list send at this moment before the node.
    fn arrive(&mut self, mood: CellMood) {
        if self.now_ms.is_multiple_of(HOSTS_MS) {
            self.inputs.push(NodeInput::Hosts { rows: self.hosts.clone() });
        }
        let digest_ms = if mood == CellMood::Busy { HEARTBEAT_MS } else { REFRESH_MS };
        for peer in 1..self.size.daemons() {
            let phase = peer as u64 * HEARTBEAT_MS / self.size.daemons() as u64;
            if self.now_ms % HEARTBEAT_MS == phase {
                self.push_peer(peer, heartbeat(self.now_ms, self.beat_ms));
            }
            if self.now_ms % digest_ms == phase {
                let summaries = self.summaries[peer].clone();
                let teams = self.digests[peer].clone();
                self.push_peer(peer, PeerMessage::RackDigests { summaries });
                self.push_peer(peer, PeerMessage::TeamDigests { teams });
            }
        }
    }

    /// Puts a peer's message before the node.
    pub(super) fn push_peer(&mut self, peer: usize, message: PeerMessage) {
        if let Ok(member) = format!("node-{peer}").parse::<MemberName>() {
            self.inputs.push(NodeInput::Peer { member, boot: PEER_BOOT, message });
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

/// Returns the summaries that each peer sends.
fn rack_rows(plan: &CellPlan) -> Result<Vec<Vec<RackSummary>>, NameError> {
    let mut rows = vec![Vec::new(); plan.size.daemons()];
    let capacity = WORKER.checked_mul(8).unwrap_or(WORKER);
    for (index, row) in plan.racks.iter().enumerate().filter(|(_, row)| row.owner > 0) {
        let team = |step: usize| plan.teams[(index + step) % plan.teams.len()].name.clone();
        rows[row.owner].push(RackSummary {
            rack: row.name.clone(),
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
    Ok(rows)
}

/// Returns the demand that each peer sends.
fn team_rows(plan: &CellPlan) -> Vec<Vec<TeamDigest>> {
    let mut rows = vec![Vec::new(); plan.size.daemons()];
    for row in plan.teams.iter().filter(|row| row.owner > 0) {
        let team = row.name.clone();
        rows[row.owner].push(TeamDigest { team, running: WORKER, waiting: Resources::ZERO });
    }
    rows
}
