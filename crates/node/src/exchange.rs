//! Exchanges rack summaries and team demand, and works out entitlements from them.
//!
//! Digests are sent when they change, at most once a heartbeat, and are refreshed now and then so
//! that a lost message heals. Every daemon works out the same entitlements from them.

use {
    crate::{
        NodeConfig,
        buffer::ActionBuffer,
        view::{ClusterView, SummaryEntry},
    },
    damaskrack_model::{ClockTime, MemberName, Resources, TeamName},
    damaskrack_ownership::PieceName,
    damaskrack_policy::{TeamDemand, entitlements},
    damaskrack_wire::{PeerMessage, RackSummary, TeamDigest},
    rustc_hash::FxHashMap,
};

/// Interval at which unchanged digests are sent again, in milliseconds.
const REFRESH_MS: u64 = 2_000;
/// Age after which a rack summary is not believed any more, in milliseconds.
const SUMMARY_AGE_MS: u64 = 7_000;
/// Interval at which entitlements are worked out, in milliseconds.
const ENTITLE_MS: u64 = 250;
/// Time after which a team that still waits below its entitlement no longer keeps others from
/// borrowing, in milliseconds: what is free is of no use to it.
const STARVED_MAX_MS: u64 = 5_000;
/// Share by which a team must be below its entitlement to count as waiting for it.
const STARVED_MARGIN: f64 = 1e-6;

/// Sends this daemon's digests and keeps those of the others.
#[derive(Debug, Default)]
pub(crate) struct DigestExchange {
    sent_racks: Vec<RackSummary>,
    sent_teams: Vec<TeamDigest>,
    next_at: ClockTime,
    refresh_at: ClockTime,
    entitle_at: ClockTime,
    starved_since: FxHashMap<TeamName, ClockTime>,
    heard_teams: FxHashMap<TeamName, ClockTime>,
}

impl DigestExchange {
    /// Tells whether this daemon's digests are due.
    pub(crate) fn is_due(&self, now: ClockTime) -> bool {
        now >= self.next_at
    }

    /// Works out entitlements when that is due.
    pub(crate) fn tick(&mut self, view: &mut ClusterView) {
        if view.now >= self.entitle_at {
            self.entitle_at = view.now.plus(ENTITLE_MS);
            self.drop_old(view);
            self.entitle(view);
        }
    }

    /// Sends this daemon's digests as far as they have changed or need a refresh.
    pub(crate) fn send(
        &mut self,
        racks: Vec<RackSummary>,
        teams: Vec<TeamDigest>,
        view: &mut ClusterView,
        config: &NodeConfig,
        out: &mut ActionBuffer,
    ) {
        self.next_at = view.now.plus(config.heartbeat_ms);
        let is_refresh = view.now >= self.refresh_at;
        if is_refresh {
            self.refresh_at = view.now.plus(REFRESH_MS);
        }
        let me = view.me.clone();
        self.on_racks(&me, racks.clone(), view);
        self.on_teams(teams.clone(), view);
        let has_racks = (is_refresh && !racks.is_empty()) || racks != self.sent_racks;
        let has_teams = (is_refresh && !teams.is_empty()) || teams != self.sent_teams;
        for (member, row) in &view.members {
            if *member == me || !row.is_listed {
                continue;
            }
            if has_racks {
                out.send(member, PeerMessage::RackDigests { summaries: racks.clone() });
            }
            if has_teams {
                out.send(member, PeerMessage::TeamDigests { teams: teams.clone() });
            }
        }
        self.sent_racks = racks;
        self.sent_teams = teams;
    }

    /// Takes rack summaries. Only the recorded owner of a rack is believed.
    pub(crate) fn on_racks(
        &mut self,
        from: &MemberName,
        summaries: Vec<RackSummary>,
        view: &mut ClusterView,
    ) {
        for summary in summaries {
            let piece = PieceName::Rack(summary.rack.clone());
            if view.owner(&piece) != Some(from) {
                continue;
            }
            let row = SummaryEntry { heard_at: view.now, summary };
            view.summaries.insert(row.summary.rack.clone(), row);
            view.summaries_generation += 1;
        }
    }

    /// Takes the demand of teams.
    pub(crate) fn on_teams(&mut self, teams: Vec<TeamDigest>, view: &mut ClusterView) {
        for digest in teams {
            self.heard_teams.insert(digest.team.clone(), view.now);
            view.digests.insert(digest.team.clone(), digest);
        }
    }

    fn drop_old(&mut self, view: &mut ClusterView) {
        let now = view.now;
        let before = view.summaries.len();
        view.summaries.retain(|_, row| now.since(row.heard_at) <= SUMMARY_AGE_MS);
        if view.summaries.len() != before {
            view.summaries_generation += 1;
        }
        let heard = &self.heard_teams;
        view.digests
            .retain(|team, _| heard.get(team).is_some_and(|&at| now.since(at) <= SUMMARY_AGE_MS));
    }

    fn entitle(&mut self, view: &mut ClusterView) {
        view.cell_capacity = Resources::ZERO;
        view.cell_usage.clear();
        for row in view.summaries.values() {
            view.cell_capacity = view.cell_capacity.saturating_add(row.summary.capacity);
            for (team, used) in &row.summary.used {
                let sum = view.cell_usage.entry(team.clone()).or_default();
                *sum = sum.saturating_add(*used);
            }
        }
        let rows: Vec<(TeamName, TeamDemand)> = view
            .manifest
            .document
            .teams
            .iter()
            .filter_map(|team| {
                let digest = view.digests.get(&team.name)?;
                let wanted = digest.running.saturating_add(digest.waiting);
                let limit = team.limit.resources;
                Some((team.name.clone(), TeamDemand { weight: team.share, wanted, limit }))
            })
            .collect();
        let demands: Vec<TeamDemand> = rows.iter().map(|(_, demand)| *demand).collect();
        let shares = entitlements(view.cell_capacity, &demands);
        view.entitlements = rows.into_iter().map(|(team, _)| team).zip(shares).collect();
        self.find_starved(view);
    }

    fn find_starved(&mut self, view: &mut ClusterView) {
        let now = view.now;
        let mut starved = Vec::new();
        for (team, digest) in &view.digests {
            let share = digest.running.dominant_share(view.cell_capacity);
            let entitlement = view.entitlements.get(team).copied().unwrap_or(0.0);
            let is_waiting = digest.waiting != Resources::ZERO;
            if !is_waiting || share + STARVED_MARGIN >= entitlement {
                self.starved_since.remove(team);
                continue;
            }
            let since = *self.starved_since.entry(team.clone()).or_insert(now);
            if now.since(since) <= STARVED_MAX_MS {
                starved.push(team.clone());
            }
        }
        view.starved = starved;
    }
}
