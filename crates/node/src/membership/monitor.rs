//! Heartbeats between daemons and what they prove.

use {
    crate::{NodeAction, NodeConfig, buffer::ActionBuffer, view::ClusterView},
    damaskrack_model::{ClockTime, MemberName},
    damaskrack_ownership::{MemberStanding, StandingInput, judge_standing},
    damaskrack_wire::PeerMessage,
    std::{collections::BTreeMap, net::SocketAddr},
};

/// Time after which a member that is neither listed nor heard nor an owner is forgotten, in
/// milliseconds.
const FORGET_MS: u64 = 30_000;

/// What the last heartbeat of a peer said.
#[derive(Debug, Clone, Copy, Default)]
struct PeerNews {
    /// Boot number of the peer's process.
    boot: u64,
    /// Its clock, to be echoed.
    clock_ms: u64,
    /// When its news of the store was current, in this daemon's clock, if it saw this daemon.
    store_at: Option<ClockTime>,
    /// When its news of the store was current, if it did not see this daemon.
    delisted_at: Option<ClockTime>,
}

/// Sends and judges heartbeats.
#[derive(Debug)]
pub(crate) struct PeerMonitor {
    news: BTreeMap<MemberName, PeerNews>,
    links: BTreeMap<MemberName, SocketAddr>,
    next_beat_at: ClockTime,
}

/// A heartbeat as it arrived.
#[derive(Debug, Clone, Copy)]
pub(crate) struct HeartbeatView {
    pub(crate) version: u64,
    pub(crate) store_age_ms: u64,
    pub(crate) sees_receiver: bool,
    pub(crate) clock_ms: u64,
    pub(crate) echo_ms: u64,
    pub(crate) is_leaving: bool,
}

impl PeerMonitor {
    pub(crate) fn new() -> Self {
        Self { news: BTreeMap::new(), links: BTreeMap::new(), next_beat_at: ClockTime::default() }
    }

    /// Takes a heartbeat. It is dated by the echo of this daemon's own clock.
    pub(crate) fn on_heartbeat(
        &mut self,
        member: &MemberName,
        boot: u64,
        beat: HeartbeatView,
        view: &mut ClusterView,
    ) {
        let news = self.news.entry(member.clone()).or_default();
        if news.boot != boot {
            *news = PeerNews { boot, ..PeerNews::default() };
        }
        news.clock_ms = beat.clock_ms;
        if let Some(row) = view.members.get_mut(member).filter(|row| row.record.boot == boot) {
            row.version = row.version.max(beat.version);
            row.is_leaving = beat.is_leaving;
            if beat.echo_ms > 0 {
                row.heard_at = row.heard_at.max(Some(ClockTime(beat.echo_ms)));
            }
        }
        if beat.echo_ms == 0 || beat.store_age_ms == u64::MAX {
            return;
        }
        let store_at = Some(ClockTime(beat.echo_ms.saturating_sub(beat.store_age_ms)));
        if beat.sees_receiver {
            news.store_at = news.store_at.max(store_at);
        } else {
            news.delisted_at = news.delisted_at.max(store_at);
        }
    }

    /// Judges this daemon's standing at the time of the view.
    pub(crate) fn judge(
        &self,
        view: &ClusterView,
        config: &NodeConfig,
        own_news_at: Option<ClockTime>,
    ) -> MemberStanding {
        let relayed_at = self.news.values().filter_map(|news| news.store_at).max();
        let delisted_at = self.news.values().filter_map(|news| news.delisted_at).max();
        let age = |at: Option<ClockTime>| at.map_or(u64::MAX, |at| view.now.since(at));
        let others = view.known_members();
        let heard = others.iter().filter(|row| age(row.heard_at) <= config.isolation_ms).count();
        judge_standing(StandingInput {
            store_age_ms: age(own_news_at.max(relayed_at)),
            is_delisted: age(delisted_at) <= config.isolation_ms,
            heard: heard + 1,
            known: others.len() + 1,
            isolation_ms: config.isolation_ms,
        })
    }

    /// Keeps links to the members and sends heartbeats when they are due.
    pub(crate) fn tick(
        &mut self,
        view: &mut ClusterView,
        config: &NodeConfig,
        own_news_at: Option<ClockTime>,
        out: &mut ActionBuffer,
    ) {
        self.drop_forgotten(view, out);
        self.connect(view, out);
        if view.now < self.next_beat_at {
            return;
        }
        self.next_beat_at = view.now.plus(config.heartbeat_ms);
        let store_age_ms = own_news_at.map_or(u64::MAX, |at| view.now.since(at));
        for (member, row) in view.members.iter().filter(|(member, _)| **member != view.me) {
            let news = self.news.get(member).copied().unwrap_or_default();
            let message = PeerMessage::Heartbeat {
                version: view.manifest.version,
                store_age_ms,
                sees_receiver: row.is_listed && row.record.boot == news.boot,
                clock_ms: view.now.0,
                echo_ms: news.clock_ms,
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

    fn drop_forgotten(&mut self, view: &mut ClusterView, out: &mut ActionBuffer) {
        let now = view.now;
        let gone: Vec<MemberName> = view
            .members
            .iter()
            .filter(|(member, row)| {
                let is_silent = row.heard_at.is_none_or(|at| now.since(at) > FORGET_MS);
                let is_old = row.unlisted_at.is_some_and(|at| now.since(at) > FORGET_MS);
                !row.is_listed && is_silent && is_old && !view.owns_anything(member)
            })
            .map(|(member, _)| member.clone())
            .collect();
        for member in gone {
            view.members.remove(&member);
            self.news.remove(&member);
            self.links.remove(&member);
            out.push(NodeAction::Disconnect { member });
        }
    }
}
