//! The scheduler node: its components and its tick.

use {
    crate::{
        NodeAction, NodeConfig, NodeInput, OperatorRequest,
        buffer::ActionBuffer,
        entry::EntryRole,
        exchange::DigestExchange,
        manifest::{ManifestReader, ManifestWriter},
        membership::{
            FollowedChange, MemberRegistration, PeerMonitor, ReceivedHeartbeat, RosterWriter,
            StoreFollower, StoreReadTimes,
        },
        pieces::{PieceChange, PieceRole},
        queue::QueueRole,
        rack::RackRole,
        view::ClusterView,
    },
    damaskrack_manifest::HEAD_KEY,
    damaskrack_model::{AnswerReason, ClockTime, MemberName, OutcomeKind, WorkAnswer},
    damaskrack_outside::{StoreError, StoreReply},
    damaskrack_ownership::{MemberRecord, MemberRoster, MemberStanding, PieceName},
    damaskrack_wire::PeerMessage,
    serde_json::json,
};

/// Maximum number of rounds in which messages to this daemon itself are delivered at one point of
/// a tick.
const MAX_LOOPBACK_ROUNDS: usize = 8;

/// Maximum time that a drained daemon waits for its removal from the roster, in milliseconds.
const ROSTER_LEAVE_MS: u64 = 2_000;

/// Scheduler core of one daemon.
///
/// # Examples
///
/// ```
/// use damaskrack_model::ClockTime;
/// use damaskrack_node::{NodeConfig, SchedulerNode};
///
/// let config = NodeConfig::new("entry-1".parse()?, "zone-a".parse()?, "127.0.0.1:7001".parse()?, 42);
/// let mut node = SchedulerNode::new(config);
/// let actions = node.tick(ClockTime(1_000), Vec::new());
/// assert!(!actions.is_empty(), "it asks the store for a lease and for the records");
/// assert!(!node.is_ready());
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Debug)]
pub struct SchedulerNode {
    config: NodeConfig,
    view: ClusterView,
    out: ActionBuffer,
    follower: StoreFollower,
    registration: MemberRegistration,
    monitor: PeerMonitor,
    roster_writer: RosterWriter,
    reader: ManifestReader,
    writer: ManifestWriter,
    pieces: PieceRole,
    entry: EntryRole,
    queues: QueueRole,
    racks: RackRole,
    exchange: DigestExchange,
    shutdown_at: Option<ClockTime>,
    drained_at: Option<ClockTime>,
    has_exited: bool,
}

impl SchedulerNode {
    /// Creates a node with empty state. Its first ticks register it in the store.
    #[must_use]
    pub fn new(config: NodeConfig) -> Self {
        Self {
            view: ClusterView::new(config.member.clone()),
            out: ActionBuffer::new(config.member.clone(), config.boot),
            follower: StoreFollower::new(),
            registration: MemberRegistration::new(),
            monitor: PeerMonitor::new(),
            roster_writer: RosterWriter::default(),
            reader: ManifestReader::new(),
            writer: ManifestWriter::default(),
            pieces: PieceRole::new(&config),
            entry: EntryRole::default(),
            queues: QueueRole::new(&config),
            racks: RackRole::default(),
            exchange: DigestExchange::default(),
            shutdown_at: None,
            drained_at: None,
            has_exited: false,
            config,
        }
    }

    /// Processes inputs in order and returns actions in order.
    ///
    /// The driver calls this whenever an input has arrived, and at least every 50 ms. The standing
    /// is evaluated before the inputs are processed, so a process that resumes after a pause does
    /// not act on outdated inputs.
    pub fn tick(&mut self, now: ClockTime, inputs: Vec<NodeInput>) -> Vec<NodeAction> {
        self.view.now = now;
        self.evaluate_standing();
        for input in inputs {
            self.handle_input(input);
            self.deliver_loopback();
        }
        self.evaluate_standing();
        self.run_components();
        self.deliver_loopback();
        self.queues.tick(&self.view, &self.config, &mut self.out);
        self.racks.tick(&self.config, &self.view, &mut self.out);
        self.deliver_loopback();
        self.exit_if_done();
        self.out.take_actions()
    }

    /// Returns whether this daemon should receive callers' requests.
    ///
    /// This does not depend on the store directly, since a store outage must not make every daemon
    /// unready at once.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.view.may_start() && !self.view.is_leaving
    }

    /// Returns the node's state as JSON, for debugging. It contains no keys.
    #[must_use]
    pub fn dump(&self) -> serde_json::Value {
        json!({
            "member": self.config.member,
            "boot": self.config.boot,
            "now_ms": self.view.now,
            "standing": format!("{:?}", self.view.standing),
            "is_leaving": self.view.is_leaving,
            "is_ready": self.is_ready(),
            "store_seen_revision": self.follower.seen_revision(),
            "store_news_at_ms": self.follower.read_at(),
            "manifest_version": self.view.manifest.version,
            "members": self.view.members,
            "roster": self.view.roster.members,
            "owners": self.view.owners.iter().map(|(piece, entry)| json!({
                "piece": piece,
                "owner": entry.record.owner,
                "epoch": entry.record.epoch,
            })).collect::<Vec<_>>(),
            "owned": self.pieces.owned(),
            "entitlements": self.view.entitlements.iter().map(|(team, share)| json!({
                "team": team,
                "share": share,
                "usage": self.view.cell_usage.get(team),
            })).collect::<Vec<_>>(),
            "starved": self.view.starved,
            "cell_capacity": self.view.cell_capacity,
            "calls": self.entry.len(),
            "teams": self.queues.dump(),
            "racks": self.racks.dump(),
        })
    }

    fn store_reads(&self) -> StoreReadTimes {
        StoreReadTimes {
            read_at: self.follower.read_at(),
            registered_at: self.registration.registered_at(),
            renewed_at: self.registration.renewed_at(),
        }
    }

    fn evaluate_standing(&mut self) {
        let reads = self.store_reads();
        let standing = self.monitor.evaluate_standing(&self.view, &self.config, reads);
        if standing != self.view.standing {
            let (old, new) = (format!("{:?}", self.view.standing), format!("{standing:?}"));
            let level = if standing == MemberStanding::Connected {
                crate::LogLevel::Info
            } else {
                crate::LogLevel::Warning
            };
            self.out.log(level, "standing_changed", &[("from", &old), ("to", &new)]);
        }
        if standing != self.view.standing {
            self.view.standing_since = self.view.now;
        }
        self.view.standing = standing;
        self.view.store_read_at = reads.read_at;
        if standing == MemberStanding::Isolated {
            self.view.is_caught_up = false;
        }
    }

    fn handle_input(&mut self, input: NodeInput) {
        let (view, config, out) = (&mut self.view, &self.config, &mut self.out);
        match input {
            NodeInput::Caller { call, request } => {
                self.entry.on_request(call, request, view, config, out);
            }
            NodeInput::CallerDisconnected { call } => self.entry.on_caller_disconnected(call),
            NodeInput::Operator { call, request } => self.handle_operator(call, request),
            NodeInput::PeerUp { member, .. } => {
                view.links.insert(member);
                view.summaries_generation += 1;
            }
            NodeInput::PeerDown { member } => {
                view.links.remove(&member);
                view.summaries_generation += 1;
                self.entry.on_link_lost(&member, view.now);
            }
            NodeInput::Peer { member, boot, message } => {
                self.handle_message(&member, boot, message);
            }
            NodeInput::Store { call, result } => self.handle_store_result(call, result),
            NodeInput::Worker { call, result } => self.racks.on_worker(call, result, view, out),
            NodeInput::Hosts { rows } => view.hosts = rows,
            NodeInput::Shutdown => self.begin_shutdown(),
        }
    }

    fn handle_operator(&mut self, call: u64, request: OperatorRequest) {
        let (view, out) = (&self.view, &mut self.out);
        match request {
            OperatorRequest::ManifestPut { base, json } => {
                self.writer.submit(call, base, json, view, out);
            }
            OperatorRequest::ManifestGet => {
                let json = serde_json::to_string(&view.manifest.document).unwrap_or_default();
                let answer = WorkAnswer::new(OutcomeKind::Done, AnswerReason::Ok, &json);
                let version = view.manifest.version;
                out.push(NodeAction::OperatorAnswer { call, version, answer });
            }
        }
    }

    fn handle_message(&mut self, from: &MemberName, boot: u64, message: PeerMessage) {
        let (view, config, out) = (&mut self.view, &self.config, &mut self.out);
        match message {
            PeerMessage::Heartbeat {
                version,
                store_age_ms,
                heard_store_age_ms,
                sees_receiver,
                clock_ms,
                echo_ms,
                is_leaving,
            } => {
                let beat = ReceivedHeartbeat {
                    version,
                    store_age_ms,
                    heard_store_age_ms,
                    sees_receiver,
                    clock_ms,
                    echo_ms,
                    is_leaving,
                };
                self.monitor.on_heartbeat(from, boot, beat, view);
            }
            PeerMessage::ManifestPull { have } => self.reader.on_pull(from, have, view, out),
            PeerMessage::ManifestPush { version, json } => {
                self.reader.on_push(version, &json, view, out);
            }
            PeerMessage::Answer { call, copy, answer } => {
                self.entry.on_answer((from, boot), (call, copy), answer, view, config, out);
            }
            PeerMessage::NotOwner { call, copy, is_given_back, .. } => {
                self.entry.on_not_owner((from, boot), (call, copy), is_given_back, view);
            }
            PeerMessage::AnswerAck { calls } => self.queues.on_answer_acks(&calls),
            PeerMessage::RackDigests { summaries } => {
                self.exchange.on_rack_digests(from, summaries, view);
            }
            PeerMessage::TeamDigests { teams } => self.exchange.on_team_digests(teams, view),
            message if is_for_racks(&message) => self.racks.on_message(from, message, view, out),
            message => self.queues.on_message(from, message, view, config, out),
        }
    }

    fn handle_store_result(&mut self, call: u64, result: Result<StoreReply, StoreError>) {
        let (view, config, out) = (&mut self.view, &self.config, &mut self.out);
        out.count("store.replies", 1);
        if result.is_err() {
            out.count("store.failures", 1);
        }
        if self.follower.owns_call(call) {
            let changes = self.follower.on_store(view.now, call, result);
            for change in changes {
                self.apply_change(&change);
            }
        } else if self.registration.owns_call(call) {
            self.registration.on_store(view.now, config, result);
        } else if self.roster_writer.owns_call(call) || self.pieces.owns_call(call) {
            // These writes take effect when the changed record is followed in the store.
        } else if self.reader.owns_call(call) {
            self.reader.on_store(call, result, view, out);
        } else if self.writer.owns_call(call) {
            self.writer.on_store(result, view, config, out);
        } else if self.queues.owns_call(call) {
            self.queues.on_store(call, result, view, config, out);
        }
    }

    fn apply_change(&mut self, change: &FollowedChange) {
        if change.key.starts_with(MemberRecord::KEY_PREFIX) {
            self.view.apply_member(change);
        } else if change.key == MemberRoster::STORE_KEY {
            let value = change.value.as_deref();
            self.roster_writer.on_record(value, change.revision, &mut self.view);
        } else if change.key == HEAD_KEY {
            self.reader.on_head(change.value.as_deref(), change.revision);
        } else if let Some(piece) = self.view.apply_owner(change) {
            let step = self.pieces.on_record(&piece, &self.view, &self.config);
            if let PieceName::Rack(rack) = &piece {
                let (view, config, out) = (&self.view, &self.config, &mut self.out);
                self.queues.on_rack_moved(rack, view, config, out);
            }
            if let Some(step) = step {
                self.apply_piece_change(&step);
            }
        }
    }

    fn apply_piece_change(&mut self, change: &PieceChange) {
        let level = crate::LogLevel::Info;
        let (piece, event) = match change {
            PieceChange::Taken(piece) => (piece, "piece_taken"),
            PieceChange::Lost(piece) => (piece, "piece_lost"),
            PieceChange::Freeze(piece) => (piece, "piece_frozen"),
            PieceChange::Thaw(piece) => (piece, "piece_thawed"),
        };
        let epoch = self.view.epoch(piece);
        self.out.log(level, event, &[("piece", piece), ("epoch", &epoch.0)]);
        match (change, piece) {
            (PieceChange::Taken(_), PieceName::Team(team)) => self.queues.take(team, epoch),
            (PieceChange::Lost(_), PieceName::Team(team)) => self.queues.forget(team),
            (PieceChange::Freeze(_), PieceName::Team(team)) => self.queues.freeze(team),
            (PieceChange::Thaw(_), PieceName::Team(team)) => self.queues.thaw(team),
            (PieceChange::Taken(_), PieceName::Rack(rack)) => {
                self.racks.take(rack, epoch, &self.view);
            }
            (PieceChange::Lost(_), PieceName::Rack(rack)) => self.racks.forget(rack),
            (PieceChange::Freeze(_), PieceName::Rack(rack)) => self.racks.freeze(rack),
            (PieceChange::Thaw(_), PieceName::Rack(rack)) => self.racks.thaw(rack),
        }
    }

    fn run_components(&mut self) {
        let reads = self.store_reads();
        let (view, config, out) = (&mut self.view, &self.config, &mut self.out);
        self.follower.tick(view.now, config.store_timeout_ms, out);
        self.registration.tick(view.now, config, view.is_leaving, out);
        self.monitor.tick(view, config, reads, out);
        self.reader.tick(view, config, out);
        if view.standing != MemberStanding::Isolated && self.reader.is_current(view) {
            view.is_caught_up = true;
        }
        let (head, revision) = (self.reader.head_version(), self.reader.head_revision());
        self.writer.tick(head, revision, view, config, out);
        if self.follower.is_listed() {
            let is_done = self.is_drained();
            let (view, config, out) = (&self.view, &self.config, &mut self.out);
            self.roster_writer.tick(&self.monitor, is_done, view, config, out);
            if self.view.roster.members.contains(&self.view.me) {
                self.review_pieces();
            }
        }
        let (view, config, out) = (&mut self.view, &self.config, &mut self.out);
        let (racks, queues) = (&self.racks, &self.queues);
        if self.exchange.is_due(view.now) {
            out.gauge("node.owned_pieces", self.pieces.owned().len() as u64);
            out.gauge("node.manifest_version", view.manifest.version);
            out.gauge("node.standing", view.standing as u64);
            out.gauge("entry.calls", self.entry.len() as u64);
            let (summaries, digests) = (racks.summaries(view), queues.digests(view));
            self.exchange.send(summaries, digests, view, config, out);
        }
        self.exchange.tick(view);
        self.entry.tick(view, config, out);
        self.queues.tick(view, config, out);
        self.racks.tick(config, view, out);
    }

    fn review_pieces(&mut self) {
        let is_idle = self.entry.is_idle();
        let (queues, racks) = (&self.queues, &self.racks);
        let can_release = |piece: &PieceName| match piece {
            PieceName::Team(team) => queues.can_release(team),
            PieceName::Rack(rack) => racks.can_release(rack),
        };
        let (view, config, out) = (&self.view, &self.config, &mut self.out);
        for change in self.pieces.review(view, config, is_idle, can_release, out) {
            self.apply_piece_change(&change);
        }
    }

    fn deliver_loopback(&mut self) {
        let me = self.config.member.clone();
        let boot = self.config.boot;
        for _ in 0..MAX_LOOPBACK_ROUNDS {
            let mut was_empty = true;
            while let Some(message) = self.out.pop_loopback() {
                was_empty = false;
                self.handle_message(&me, boot, message);
            }
            if was_empty {
                return;
            }
        }
    }

    fn begin_shutdown(&mut self) {
        if self.shutdown_at.is_some() {
            return;
        }
        self.shutdown_at = Some(self.view.now);
        self.view.is_leaving = true;
        let me = self.config.member.clone();
        if let Some(entry) = self.view.members.get_mut(&me) {
            entry.is_leaving = true;
        }
        self.out.log(crate::LogLevel::Info, "shutdown_begun", &[("member", &me)]);
    }

    /// Returns whether this daemon is off the roster or has waited long enough to be removed. A
    /// pending change of the roster may delay the removal; staying on the roster does no harm to a
    /// daemon that restarts under its name.
    fn is_off_roster(&mut self) -> bool {
        let since = *self.drained_at.get_or_insert(self.view.now);
        let is_late = self.view.now.since(since) > ROSTER_LEAVE_MS;
        is_late || !self.view.roster.members.contains(&self.view.me)
    }

    /// Returns whether this daemon is shutting down and has nothing left to do.
    fn is_drained(&self) -> bool {
        self.shutdown_at.is_some()
            && self.entry.is_idle()
            && self.pieces.owned().is_empty()
            && self.writer.is_idle()
    }

    /// Ends the process once no caller waits, no piece is owned and the member lease is revoked, or
    /// once the shutdown deadline has passed.
    fn exit_if_done(&mut self) {
        let Some(since) = self.shutdown_at else { return };
        if self.has_exited {
            return;
        }
        let is_overdue = self.view.now.since(since) > self.config.shutdown_ms;
        let is_done = self.is_drained() && self.is_off_roster();
        if !is_done && !is_overdue {
            return;
        }
        self.registration.revoke(self.config.store_timeout_ms, &mut self.out);
        if self.registration.is_revoked() || is_overdue {
            self.has_exited = true;
            self.out.log(crate::LogLevel::Info, "shutdown_done", &[("is_overdue", &is_overdue)]);
            self.out.push(NodeAction::Exit);
        }
    }
}

fn is_for_racks(message: &PeerMessage) -> bool {
    matches!(
        message,
        PeerMessage::Place { .. }
            | PeerMessage::Commit { .. }
            | PeerMessage::Release { .. }
            | PeerMessage::StopAttempts { .. }
            | PeerMessage::Inquire { .. }
            | PeerMessage::EndedAck { .. }
            | PeerMessage::RollCall { .. }
    )
}
