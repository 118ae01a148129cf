//! Sends and receives heartbeats and evaluates this daemon's standing from them.

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

/// Time for which this daemon remembers the store reads that its heartbeats reported, in
/// milliseconds.
const REPORT_RETENTION_MS: u64 = 10_000;
/// Time after which the link to a member that is neither listed nor heard is closed, in
/// milliseconds.
const DISCONNECT_MS: u64 = 30_000;
/// Time after which a member that is neither listed nor heard, owns nothing and is not on the
/// roster is forgotten, in milliseconds.
const FORGET_MS: u64 = 3_600_000;

/// State of a peer, from its heartbeats.
#[derive(Debug, Clone, Copy, Default)]
struct PeerState {
    /// Boot number of the peer's process.
    boot: u64,
    /// Latest reading of the peer's clock, which is echoed to it.
    clock_ms: u64,
    /// Latest reading of this daemon's clock that the peer has echoed.
    echo: Option<ClockTime>,
    /// Latest time at which a store read of the peer that lists this daemon was certainly current.
    listed_at: Option<ClockTime>,
}

/// Exchanges heartbeats with the other members.
#[derive(Debug)]
pub(crate) struct PeerMonitor {
    peers: BTreeMap<MemberName, PeerState>,
    links: BTreeMap<MemberName, SocketAddr>,
    next_heartbeat_at: ClockTime,
    /// Time of the latest store read that any peer reported of itself. It counts back from the
    /// arrival of the heartbeat, so it may be too late but never too early.
    peer_read_at: Option<ClockTime>,
    /// Time of the latest store read that any peer has ever reported, its own or another member's.
    /// It is not passed on: a read that circulates would get later by the delay of each hop.
    heard_read_at: Option<ClockTime>,
    /// Times of the store reads that this daemon's recent heartbeats reported, by the clock reading
    /// of the heartbeat.
    reported_reads: BTreeMap<ClockTime, ClockTime>,
}

/// Times of this daemon's own contacts with the store.
#[derive(Debug, Clone, Copy)]
pub(crate) struct StoreReadTimes {
    /// When the call of its latest store read was sent.
    pub(crate) read_at: Option<ClockTime>,
    /// When its current member record was written; `None` while there is none.
    pub(crate) registered_at: Option<ClockTime>,
    /// When the last successful renewal of its lease was sent.
    pub(crate) renewed_at: Option<ClockTime>,
}

/// Fields of a received heartbeat.
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

    /// Handles a heartbeat. Its age is measured from the reading of this daemon's own clock that it
    /// echoes.
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
        if let Some(entry) = view.members.get_mut(member).filter(|entry| entry.record.boot == boot)
        {
            entry.version = entry.version.max(heartbeat.version);
            entry.is_leaving = heartbeat.is_leaving;
            if heartbeat.echo_ms > 0 {
                entry.heard_at = entry.heard_at.max(Some(ClockTime(heartbeat.echo_ms)));
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

    /// Evaluates this daemon's standing at the time of the view. While a change of the roster is in
    /// progress, the worse of the standings in the current and the former roster counts.
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
        let own_count = usize::from(list.contains(&view.me) || !is_on_roster);
        evaluate_standing(StandingInput {
            store_age_ms: age(own.read_at.max(relayed_at)),
            has_later_read: has_later_read(
                age(own.renewed_at),
                age(self.heard_read_at),
                config.member_lease_ms,
                config.isolation_ms,
            ),
            is_settled,
            heard: heard_members(list, view, config).count() + own_count,
            informed: self.informed_count(list, view, config) + own_count,
            known: list.len() + usize::from(!is_on_roster),
            isolation_ms: config.isolation_ms,
        })
    }

    /// Returns how many other members of a list are heard and have echoed a heartbeat that reported
    /// a store read which is still recent.
    pub(crate) fn informed_count(
        &self,
        list: &BTreeSet<MemberName>,
        view: &ClusterView,
        config: &NodeConfig,
    ) -> usize {
        heard_members(list, view, config)
            .filter(|entry| self.is_informed(entry, view, config))
            .count()
    }

    /// Returns whether the latest heartbeat that a member has echoed reported a store read which is
    /// still recent.
    fn is_informed(&self, entry: &MemberEntry, view: &ClusterView, config: &NodeConfig) -> bool {
        let echo = self.peers.get(&entry.record.member).and_then(|peer| peer.echo);
        let reported_read_at = echo.and_then(|echo| self.reported_reads.get(&echo));
        reported_read_at.is_some_and(|&at| view.now.since(at) <= config.isolation_ms)
    }

    /// Maintains the links to the members and sends the heartbeats that are due.
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
        for (member, entry) in view.members.iter().filter(|(member, _)| **member != view.me) {
            let peer = self.peers.get(member).copied().unwrap_or_default();
            let message = PeerMessage::Heartbeat {
                version: view.manifest.version,
                store_age_ms,
                heard_store_age_ms,
                sees_receiver: entry.is_listed && entry.record.boot == peer.boot,
                clock_ms: view.now.0,
                echo_ms: peer.clock_ms,
                is_leaving: view.is_leaving,
            };
            out.send(member, message);
        }
    }

    fn connect(&mut self, view: &ClusterView, out: &mut ActionBuffer) {
        for (member, entry) in &view.members {
            let address = entry.record.address;
            let is_new = self.links.get(member) != Some(&address);
            if *member == view.me || !entry.is_listed || !is_new {
                continue;
            }
            self.links.insert(member.clone(), address);
            out.push(NodeAction::Connect { member: member.clone(), address });
        }
    }

    fn remove_gone(&mut self, view: &mut ClusterView, out: &mut ActionBuffer) {
        let now = view.now;
        for (member, entry) in &view.members {
            if entry.silent_ms(now) > DISCONNECT_MS && self.links.remove(member).is_some() {
                out.push(NodeAction::Disconnect { member: member.clone() });
            }
        }
        let gone: Vec<MemberName> = view
            .members
            .iter()
            .filter(|(member, entry)| {
                let is_on_roster = view.roster.members.contains(*member);
                entry.silent_ms(now) > FORGET_MS && !is_on_roster && !view.owns_anything(member)
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
    let entries = others.filter_map(|member| view.members.get(member));
    entries.filter(|entry| entry.is_heard(view.now, config.isolation_ms))
}
