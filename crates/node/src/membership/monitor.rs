//! Heartbeats between daemons and what they prove.

use {
    crate::{
        NodeAction, NodeConfig,
        buffer::ActionBuffer,
        view::{ClusterView, MemberEntry},
    },
    damaskrack_model::{ClockTime, MemberName},
    damaskrack_ownership::{MemberStanding, StandingInput, evaluate_standing, has_later_read},
    damaskrack_wire::PeerMessage,
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
    },
};

/// Time for which this daemon remembers what its heartbeats told, in milliseconds.
const REPORT_RETENTION_MS: u64 = 10_000;
/// Time after which the link to a member that is neither listed nor heard is given up, in
/// milliseconds.
const DISCONNECT_MS: u64 = 30_000;
/// Time after which a member that is neither listed nor heard nor an owner is forgotten, in
/// milliseconds.
const FORGET_MS: u64 = 3_600_000;

/// What the last heartbeat of a peer said.
#[derive(Debug, Clone, Copy, Default)]
struct PeerState {
    /// Boot number of the peer's process.
    boot: u64,
    /// Its clock, to be echoed.
    clock_ms: u64,
    /// Latest reading of this daemon's clock that it has echoed.
    echo: Option<ClockTime>,
    /// When its news of the store, which list this daemon, were current at the latest proof.
    listed_at: Option<ClockTime>,
}

/// Sends and judges heartbeats.
#[derive(Debug)]
pub(crate) struct PeerMonitor {
    peers: BTreeMap<MemberName, PeerState>,
    links: BTreeMap<MemberName, SocketAddr>,
    next_heartbeat_at: ClockTime,
    /// Freshest news of the store that any peer was heard to have itself. Dated by the arrival of
    /// the heartbeat, so rather too late than too early.
    peer_read_at: Option<ClockTime>,
    /// Freshest news of the store that anybody was ever heard to know of. Not passed on: news that
    /// circulate would get later by the delay of each hop.
    heard_read_at: Option<ClockTime>,
    /// This daemon's last heartbeats, by their clock reading, with the date of the news of the
    /// store that they told of.
    reported_reads: BTreeMap<ClockTime, ClockTime>,
}

/// What this daemon itself knows of the store.
#[derive(Debug, Clone, Copy)]
pub(crate) struct StoreReadTimes {
    /// When its freshest own news were asked for.
    pub(crate) read_at: Option<ClockTime>,
    /// When its present registration was written; `None` while there is none.
    pub(crate) registered_at: Option<ClockTime>,
    /// When the last renewal of its lease that succeeded was sent.
    pub(crate) renewed_at: Option<ClockTime>,
}

/// A heartbeat as it arrived.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ReceivedHeartbeat {
    pub(crate) version: u64,
    pub(crate) store_age_ms: u64,
    pub(crate) heard_store_age_ms: u64,
    pub(crate) sees_receiver: bool,
    pub(crate) clock_ms: u64,
    pub(crate) echo_ms: u64,
    pub(crate) is_leaving: bool,
}

impl PeerMonitor {
    pub(crate) fn new() -> Self {
        Self {
            peers: BTreeMap::new(),
            links: BTreeMap::new(),
            next_heartbeat_at: ClockTime::default(),
            peer_read_at: None,
            heard_read_at: None,
            reported_reads: BTreeMap::new(),
        }
    }

    /// Takes a heartbeat. It is dated by the echo of this daemon's own clock.
    pub(crate) fn on_heartbeat(
        &mut self,
        member: &MemberName,
        boot: u64,
        heartbeat: ReceivedHeartbeat,
        view: &mut ClusterView,
    ) {
        let peer = self.peers.entry(member.clone()).or_default();
        if peer.boot != boot {
            *peer = PeerState { boot, ..PeerState::default() };
        }
        peer.clock_ms = heartbeat.clock_ms;
        if let Some(row) = view.members.get_mut(member).filter(|row| row.record.boot == boot) {
            row.version = row.version.max(heartbeat.version);
            row.is_leaving = heartbeat.is_leaving;
            if heartbeat.echo_ms > 0 {
                row.heard_at = row.heard_at.max(Some(ClockTime(heartbeat.echo_ms)));
            }
        }
        let arrival = |age_ms: u64| {
            (age_ms != u64::MAX).then(|| ClockTime(view.now.0.saturating_sub(age_ms)))
        };
        self.peer_read_at = self.peer_read_at.max(arrival(heartbeat.store_age_ms));
        self.heard_read_at = self.heard_read_at.max(arrival(heartbeat.heard_store_age_ms));
        if heartbeat.echo_ms == 0 {
            return;
        }
        peer.echo = peer.echo.max(Some(ClockTime(heartbeat.echo_ms)));
        if heartbeat.sees_receiver && heartbeat.store_age_ms != u64::MAX {
            let at = ClockTime(heartbeat.echo_ms.saturating_sub(heartbeat.store_age_ms));
            peer.listed_at = peer.listed_at.max(Some(at));
        }
    }

    /// Judges this daemon's standing at the time of the view: the worse of what the roster and,
    /// while a change of it is not settled, the former roster allow.
    pub(crate) fn evaluate_standing(
        &self,
        view: &ClusterView,
        config: &NodeConfig,
        own: StoreReadTimes,
    ) -> MemberStanding {
        let present = self.standing_in_list(&view.roster.members, view, config, own);
        match &view.roster.former {
            Some(former) => present.max(self.standing_in_list(former, view, config, own)),
            None => present,
        }
    }

    fn standing_in_list(
        &self,
        list: &BTreeSet<MemberName>,
        view: &ClusterView,
        config: &NodeConfig,
        own: StoreReadTimes,
    ) -> MemberStanding {
        let age = |at: Option<ClockTime>| at.map_or(u64::MAX, |at| view.now.since(at));
        let is_on_roster = view.roster.members.contains(&view.me);
        let settled_at = own.registered_at.map(|at| at.plus(config.isolation_ms));
        let is_settled = is_on_roster && settled_at.is_some_and(|at| own.read_at >= Some(at));
        let listed_at = self.peers.values().filter_map(|peer| peer.listed_at).max();
        let relayed_at = if is_settled { listed_at } else { None };
        let myself = usize::from(list.contains(&view.me) || !is_on_roster);
        evaluate_standing(StandingInput {
            store_age_ms: age(own.read_at.max(relayed_at)),
            has_later_read: has_later_read(
                age(own.renewed_at),
                age(self.heard_read_at),
                config.member_lease_ms,
                config.isolation_ms,
            ),
            is_settled,
            heard: heard_members(list, view, config).count() + myself,
            informed: self.informed_count(list, view, config) + myself,
            known: list.len() + usize::from(!is_on_roster),
            isolation_ms: config.isolation_ms,
        })
    }

    /// Returns how many other members of a list are heard and have echoed a heartbeat that told
    /// them of current news of the store.
    pub(crate) fn informed_count(
        &self,
        list: &BTreeSet<MemberName>,
        view: &ClusterView,
        config: &NodeConfig,
    ) -> usize {
        heard_members(list, view, config).filter(|row| self.is_informed(row, view, config)).count()
    }

    /// Tells whether the last heartbeat that a member has echoed told it of news of the store that
    /// are still current.
    fn is_informed(&self, row: &MemberEntry, view: &ClusterView, config: &NodeConfig) -> bool {
        let echo = self.peers.get(&row.record.member).and_then(|peer| peer.echo);
        let reported_read_at = echo.and_then(|echo| self.reported_reads.get(&echo));
        reported_read_at.is_some_and(|&at| view.now.since(at) <= config.isolation_ms)
    }

    /// Keeps links to the members and sends heartbeats when they are due.
    pub(crate) fn tick(
        &mut self,
        view: &mut ClusterView,
        config: &NodeConfig,
        own: StoreReadTimes,
        out: &mut ActionBuffer,
    ) {
        self.remove_gone(view, out);
        self.connect(view, out);
        if view.now < self.next_heartbeat_at {
            return;
        }
        self.next_heartbeat_at = view.now.plus(config.heartbeat_ms);
        let age = |at: Option<ClockTime>| at.map_or(u64::MAX, |at| view.now.since(at));
        let store_age_ms = age(own.read_at);
        self.reported_reads.retain(|sent_at, _| view.now.since(*sent_at) <= REPORT_RETENTION_MS);
        if let Some(at) = own.read_at {
            self.reported_reads.insert(view.now, at);
        }
        let heard_store_age_ms = age(own.read_at.max(self.peer_read_at));
        for (member, row) in view.members.iter().filter(|(member, _)| **member != view.me) {
            let peer = self.peers.get(member).copied().unwrap_or_default();
            let message = PeerMessage::Heartbeat {
                version: view.manifest.version,
                store_age_ms,
                heard_store_age_ms,
                sees_receiver: row.is_listed && row.record.boot == peer.boot,
                clock_ms: view.now.0,
                echo_ms: peer.clock_ms,
                is_leaving: view.is_leaving,
            };
            out.send(member, message);
        }
    }

    fn connect(&mut self, view: &ClusterView, out: &mut ActionBuffer) {
        for (member, row) in &view.members {
            let address = row.record.address;
            let is_new = self.links.get(member) != Some(&address);
            if *member == view.me || !row.is_listed || !is_new {
                continue;
            }
            self.links.insert(member.clone(), address);
            out.push(NodeAction::Connect { member: member.clone(), address });
        }
    }

    fn remove_gone(&mut self, view: &mut ClusterView, out: &mut ActionBuffer) {
        let now = view.now;
        for (member, row) in &view.members {
            if row.silent_ms(now) > DISCONNECT_MS && self.links.remove(member).is_some() {
                out.push(NodeAction::Disconnect { member: member.clone() });
            }
        }
        let gone: Vec<MemberName> = view
            .members
            .iter()
            .filter(|(member, row)| {
                let is_counted = view.roster.members.contains(*member);
                row.silent_ms(now) > FORGET_MS && !is_counted && !view.owns_anything(member)
            })
            .map(|(member, _)| member.clone())
            .collect();
        for member in gone {
            view.members.remove(&member);
            self.peers.remove(&member);
        }
    }
}

/// Returns the other members of a list that were heard within the isolation time.
fn heard_members<'a>(
    list: &'a BTreeSet<MemberName>,
    view: &'a ClusterView,
    config: &'a NodeConfig,
) -> impl Iterator<Item = &'a MemberEntry> {
    let others = list.iter().filter(|member| **member != view.me);
    let rows = others.filter_map(|member| view.members.get(member));
    rows.filter(|row| row.is_heard(view.now, config.isolation_ms))
}
