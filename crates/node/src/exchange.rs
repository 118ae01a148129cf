//! Exchanges rack summaries and team demand (digests) and computes entitlements from them.
//!
//! Digests are sent when they change, at most once per heartbeat, and are refreshed periodically
//! to recover from lost messages. Every daemon computes the same entitlements from them.

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
const REFRESH_INTERVAL_MS: u64 = 2_000;
/// Age after which a digest is discarded, in milliseconds.
const MAX_DIGEST_AGE_MS: u64 = 7_000;
/// Interval at which entitlements are computed, in milliseconds.
const ENTITLEMENT_INTERVAL_MS: u64 = 250;
/// Time for which a team that waits below its entitlement keeps other teams from borrowing, in
/// milliseconds. After that, the free capacity is assumed to be unusable for it.
const MAX_STARVED_MS: u64 = 5_000;
/// Share by which a team must be below its entitlement to count as starved.
const STARVED_MARGIN: f64 = 1e-6;

/// Sends this daemon's digests and stores those of other daemons.
#[derive(Debug, Default)]
pub(crate) struct DigestExchange {
    sent_racks: Vec<RackSummary>,
    sent_teams: Vec<TeamDigest>,
    next_at: ClockTime,
    refresh_at: ClockTime,
    entitlements_at: ClockTime,
    starved_since: FxHashMap<TeamName, ClockTime>,
    heard_teams: FxHashMap<TeamName, ClockTime>,
}

impl DigestExchange {
    /// Returns whether this daemon's digests are due to be sent.
    pub(crate) fn is_due(&self, now: ClockTime) -> bool {
        now >= self.next_at
    }

    /// Computes entitlements if that is due.
    pub(crate) fn tick(&mut self, view: &mut ClusterView) {
        if view.now >= self.entitlements_at {
            self.entitlements_at = view.now.plus(ENTITLEMENT_INTERVAL_MS);
            self.remove_expired(view);
            self.update_entitlements(view);
        }
    }

    /// Sends those of this daemon's digests that have changed or need a refresh.
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
            self.refresh_at = view.now.plus(REFRESH_INTERVAL_MS);
        }
        let me = view.me.clone();
        self.on_rack_digests(&me, racks.clone(), view);
        self.on_team_digests(teams.clone(), view);
        let has_racks = (is_refresh && !racks.is_empty()) || racks != self.sent_racks;
        let has_teams = (is_refresh && !teams.is_empty()) || teams != self.sent_teams;
        for (member, entry) in &view.members {
            if *member == me || !entry.is_listed {
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

    /// Stores rack summaries; those not sent by the recorded owner of the rack are ignored.
    pub(crate) fn on_rack_digests(
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
            let entry = SummaryEntry { heard_at: view.now, summary };
            view.summaries.insert(entry.summary.rack.clone(), entry);
            view.summaries_generation += 1;
        }
    }

    /// Stores the received demand of teams.
    pub(crate) fn on_team_digests(&mut self, teams: Vec<TeamDigest>, view: &mut ClusterView) {
        for digest in teams {
            self.heard_teams.insert(digest.team.clone(), view.now);
            view.digests.insert(digest.team.clone(), digest);
        }
    }

    fn remove_expired(&mut self, view: &mut ClusterView) {
        let now = view.now;
        let before = view.summaries.len();
        view.summaries.retain(|_, entry| now.since(entry.heard_at) <= MAX_DIGEST_AGE_MS);
        if view.summaries.len() != before {
            view.summaries_generation += 1;
        }
        let heard = &self.heard_teams;
        view.digests.retain(|team, _| {
            heard.get(team).is_some_and(|&at| now.since(at) <= MAX_DIGEST_AGE_MS)
        });
    }

    fn update_entitlements(&mut self, view: &mut ClusterView) {
        view.cell_capacity = Resources::ZERO;
        view.cell_usage.clear();
        for entry in view.summaries.values() {
            view.cell_capacity = view.cell_capacity.saturating_add(entry.summary.capacity);
            for (team, used) in &entry.summary.used {
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
        self.update_starved(view);
    }

    fn update_starved(&mut self, view: &mut ClusterView) {
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
            if now.since(since) <= MAX_STARVED_MS {
                starved.push(team.clone());
            }
        }
        view.starved = starved;
    }
}
