//! State shared by all components: members, owners, manifest, hosts and digests.

use {
    crate::{NodeConfig, membership::FollowedChange},
    damaskrack_manifest::{
        KeyIndex, ManifestDocument, ManifestHead, QueueEntry, TeamEntry, ZoneState,
    },
    damaskrack_model::{
        ClockTime, Epoch, MemberName, QueueName, RackName, Resources, TeamName, ZoneName,
    },
    damaskrack_outside::HostRow,
    damaskrack_ownership::{MemberRecord, MemberRoster, MemberStanding, OwnerRecord, PieceName},
    damaskrack_wire::{RackSummary, TeamDigest},
    rustc_hash::FxHashMap,
    serde::Serialize,
    std::collections::{BTreeMap, BTreeSet},
};

/// Time since an owner was last known to be alive after which it gets no new work, in
/// milliseconds.
const OWNER_SILENCE_MS: u64 = 1_600;

/// A member as this daemon knows it.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct MemberEntry {
    /// Its record in the store, as last seen.
    pub(crate) record: MemberRecord,
    /// Whether the record is still in the store.
    pub(crate) is_listed: bool,
    /// Latest time at which it is known to have been alive: the latest clock reading of this daemon
    /// that it has echoed in a heartbeat.
    pub(crate) heard_at: Option<ClockTime>,
    /// When its record disappeared from the store.
    pub(crate) unlisted_at: Option<ClockTime>,
    /// Manifest version that it last confirmed.
    pub(crate) version: u64,
    /// Whether it has announced its shutdown.
    pub(crate) is_leaving: bool,
}

impl MemberEntry {
    /// Returns whether the member was known to be alive within the last `within_ms` milliseconds.
    pub(crate) fn is_heard(&self, now: ClockTime, within_ms: u64) -> bool {
        self.heard_at.is_some_and(|at| now.since(at) <= within_ms)
    }

    /// Returns how long the member has been neither listed nor heard, in milliseconds; 0 while it
    /// is listed.
    pub(crate) fn silent_ms(&self, now: ClockTime) -> u64 {
        let since = self.unlisted_at.filter(|_| !self.is_listed);
        since.map_or(0, |at| now.since(self.heard_at.map_or(at, |heard| heard.max(at))))
    }
}

/// An ownership record as this daemon knows it.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct OwnerEntry {
    /// The record.
    pub(crate) record: OwnerRecord,
    /// Store revision of the record.
    pub(crate) revision: u64,
}

/// A manifest with its version.
#[derive(Debug, Default)]
pub(crate) struct VersionedManifest {
    /// Version; 0 if there is none yet.
    pub(crate) version: u64,
    /// Manifest head under which the document was read.
    pub(crate) head: ManifestHead,
    /// The manifest.
    pub(crate) document: ManifestDocument,
    /// Index of its keys by name.
    pub(crate) keys: KeyIndex,
}

/// A rack summary with the time of its arrival.
#[derive(Debug, Clone)]
pub(crate) struct SummaryEntry {
    /// The summary.
    pub(crate) summary: RackSummary,
    /// When it arrived.
    pub(crate) heard_at: ClockTime,
}

/// Cluster state that every component may read. Only membership, manifest, ownership and digest
/// exchange update it.
#[derive(Debug)]
pub(crate) struct ClusterView {
    /// Time of the current tick.
    pub(crate) now: ClockTime,
    /// This daemon.
    pub(crate) me: MemberName,
    /// Standing of this daemon, which determines what it may do.
    pub(crate) standing: MemberStanding,
    /// Whether this daemon is shutting down.
    pub(crate) is_leaving: bool,
    /// Whether the manifest has caught up with the store since this daemon was last isolated.
    pub(crate) is_caught_up: bool,
    /// When this daemon sent the store call of its latest confirmed read.
    pub(crate) store_read_at: Option<ClockTime>,
    /// When the standing last changed.
    pub(crate) standing_since: ClockTime,
    /// Members by name, this daemon included once it is registered.
    pub(crate) members: BTreeMap<MemberName, MemberEntry>,
    /// Members to which a link is established.
    pub(crate) links: BTreeSet<MemberName>,
    /// Members that count towards a majority.
    pub(crate) roster: MemberRoster,
    /// Ownership records.
    pub(crate) owners: BTreeMap<PieceName, OwnerEntry>,
    /// Number of pieces that each member owns according to the records.
    owned_counts: FxHashMap<MemberName, usize>,
    /// The manifest.
    pub(crate) manifest: VersionedManifest,
    /// The host list.
    pub(crate) hosts: Vec<HostRow>,
    /// Rack summaries, this daemon's own included.
    pub(crate) summaries: BTreeMap<RackName, SummaryEntry>,
    /// Team digests, this daemon's own included.
    pub(crate) digests: BTreeMap<TeamName, TeamDigest>,
    /// Incremented whenever `summaries` or the reachability of rack owners changes.
    pub(crate) summaries_generation: u64,
    /// Teams whose work waits although they use less than their entitlement.
    pub(crate) starved: Vec<TeamName>,
    /// Dominant share of the cell that each team with demand is entitled to, from 0 to 1.
    pub(crate) entitlements: FxHashMap<TeamName, f64>,
    /// Total capacity of all rack summaries.
    pub(crate) cell_capacity: Resources,
    /// Resources allocated to each team in the whole cell.
    pub(crate) cell_usage: FxHashMap<TeamName, Resources>,
}

impl ClusterView {
    pub(crate) fn new(me: MemberName) -> Self {
        Self {
            now: ClockTime::default(),
            me,
            standing: MemberStanding::Isolated,
            is_leaving: false,
            is_caught_up: false,
            store_read_at: None,
            standing_since: ClockTime::default(),
            members: BTreeMap::new(),
            links: BTreeSet::new(),
            roster: MemberRoster::default(),
            owners: BTreeMap::new(),
            owned_counts: FxHashMap::default(),
            manifest: VersionedManifest::default(),
            hosts: Vec::new(),
            summaries: BTreeMap::new(),
            digests: BTreeMap::new(),
            summaries_generation: 0,
            starved: Vec::new(),
            entitlements: FxHashMap::default(),
            cell_capacity: Resources::ZERO,
            cell_usage: FxHashMap::default(),
        }
    }

    /// Returns whether a member is recorded as the owner of any piece.
    pub(crate) fn owns_anything(&self, member: &MemberName) -> bool {
        self.owned_counts.get(member).is_some_and(|&count| count > 0)
    }

    /// Applies a change of a member record.
    pub(crate) fn apply_member(&mut self, change: &FollowedChange) {
        let record = change.value.as_deref().and_then(|text| MemberRecord::from_json(text).ok());
        match record {
            Some(record) => self.list_member(record),
            None => self.unlist_member(&change.key),
        }
    }

    fn list_member(&mut self, record: MemberRecord) {
        let known = self.members.remove(&record.member);
        let same_boot = known.filter(|entry| entry.record.boot == record.boot);
        let (heard_at, version) =
            same_boot.map_or((None, 0), |entry| (entry.heard_at, entry.version));
        let is_leaving = record.is_leaving;
        let member = record.member.clone();
        let entry = MemberEntry {
            record,
            is_listed: true,
            heard_at,
            unlisted_at: None,
            version,
            is_leaving,
        };
        self.members.insert(member, entry);
    }

    fn unlist_member(&mut self, key: &str) {
        let name = key.strip_prefix(MemberRecord::KEY_PREFIX).and_then(|name| name.parse().ok());
        let entry = name.and_then(|name: MemberName| self.members.get_mut(&name));
        if let Some(entry) = entry {
            entry.is_listed = false;
            entry.unlisted_at = Some(self.now);
        }
    }

    /// Applies a change of an ownership record; returns its piece.
    pub(crate) fn apply_owner(&mut self, change: &FollowedChange) -> Option<PieceName> {
        let piece = PieceName::from_store_key(&change.key)?;
        // The tracked free capacity of racks depends on which owners are reachable.
        self.summaries_generation += 1;
        let record = change.value.as_deref().and_then(|text| OwnerRecord::from_json(text).ok());
        if let Some(owner) = self.owner(&piece).cloned()
            && let Some(count) = self.owned_counts.get_mut(&owner)
        {
            *count -= 1;
        }
        let Some(record) = record else {
            self.owners.remove(&piece);
            return Some(piece);
        };
        if let Some(owner) = &record.owner {
            *self.owned_counts.entry(owner.clone()).or_default() += 1;
        }
        self.owners.insert(piece.clone(), OwnerEntry { record, revision: change.revision });
        Some(piece)
    }

    /// Returns the members that may be given pieces: those on the roster that are listed and not
    /// shutting down.
    pub(crate) fn eligible_owners(&self) -> impl Iterator<Item = &MemberName> {
        self.members
            .iter()
            .filter(|(member, _)| self.roster.members.contains(*member))
            .filter(|(_, entry)| entry.is_listed && !entry.is_leaving && !entry.record.is_leaving)
            .map(|(member, _)| member)
    }

    /// Returns every piece: those with a record, the manifest's teams and the listed racks.
    pub(crate) fn pieces(&self) -> BTreeSet<PieceName> {
        let teams = self.manifest.document.teams.iter();
        let teams = teams.map(|team| PieceName::Team(team.name.clone()));
        let racks = self.hosts.iter().map(|row| PieceName::Rack(row.rack.clone()));
        self.owners.keys().cloned().chain(teams).chain(racks).collect()
    }

    /// Returns whether a recorded owner is gone: the store no longer lists it under its boot
    /// number, and it has not been heard for a member lease.
    pub(crate) fn is_owner_gone(&self, record: &OwnerRecord, config: &NodeConfig) -> bool {
        let Some(owner) = &record.owner else { return true };
        let Some(entry) = self.members.get(owner) else { return true };
        if entry.is_listed {
            return entry.record.boot != record.boot;
        }
        let is_silent = entry.heard_at.is_none_or(|at| self.now.since(at) > config.member_lease_ms);
        is_silent || entry.record.boot != record.boot
    }

    /// Returns whether the recorded owner of a piece is this process.
    pub(crate) fn is_mine(&self, piece: &PieceName, boot: u64) -> bool {
        self.owners.get(piece).is_some_and(|entry| {
            entry.record.owner.as_ref() == Some(&self.me) && entry.record.boot == boot
        })
    }

    /// Returns the recorded owner of a piece.
    pub(crate) fn owner(&self, piece: &PieceName) -> Option<&MemberName> {
        self.owners.get(piece).and_then(|entry| entry.record.owner.as_ref())
    }

    /// Returns the recorded owner of a rack if a message to it can be sent now.
    pub(crate) fn reachable_owner(&self, rack: &RackName) -> Option<&MemberName> {
        let owner = self.owner(&PieceName::Rack(rack.clone()))?;
        let entry = self.members.get(owner);
        let is_heard = entry.is_some_and(|entry| entry.is_heard(self.now, OWNER_SILENCE_MS));
        (*owner == self.me || (is_heard && self.links.contains(owner))).then_some(owner)
    }

    /// Returns the recorded epoch of a piece; 0 if it never had an owner.
    pub(crate) fn epoch(&self, piece: &PieceName) -> Epoch {
        self.owners.get(piece).map(|entry| entry.record.epoch).unwrap_or_default()
    }

    /// Returns whether an availability zone is in service. A zone that is not in the manifest is
    /// not.
    pub(crate) fn is_zone_in_service(&self, zone: &ZoneName) -> bool {
        self.manifest
            .document
            .zones
            .iter()
            .any(|entry| entry.name == *zone && entry.state == ZoneState::In)
    }

    /// Returns a team's manifest entry.
    pub(crate) fn team(&self, team: &TeamName) -> Option<&TeamEntry> {
        self.manifest.document.teams.iter().find(|entry| entry.name == *team)
    }

    /// Returns a queue's manifest entry.
    pub(crate) fn queue(&self, queue: &QueueName) -> Option<&QueueEntry> {
        self.manifest.document.queues.iter().find(|entry| entry.name == *queue)
    }

    /// Returns by how much a team's usage of the cell exceeds its entitlement, as a dominant share;
    /// 0 or less if it borrows nothing.
    pub(crate) fn borrowed_share(&self, team: &TeamName) -> f64 {
        let used = self.cell_usage.get(team).copied().unwrap_or(Resources::ZERO);
        let entitlement = self.entitlements.get(team).copied().unwrap_or(0.0);
        used.dominant_share(self.cell_capacity) - entitlement
    }

    /// Returns the dominant share of the cell to which a team is entitled.
    ///
    /// The part that its weight guarantees needs no exchange of demand: no division of the cell
    /// gives less to a team that wants it.
    pub(crate) fn entitlement(&self, team: &TeamName) -> f64 {
        let teams = &self.manifest.document.teams;
        let total: u64 = teams.iter().map(|entry| u64::from(entry.share)).sum();
        let weight = self.team(team).map_or(0, |entry| u64::from(entry.share));
        #[allow(clippy::cast_precision_loss)]
        let guaranteed = if total == 0 { 0.0 } else { weight as f64 / total as f64 };
        self.entitlements.get(team).copied().unwrap_or(0.0).max(guaranteed)
    }

    /// Returns whether any other team is starved.
    pub(crate) fn is_other_team_starved(&self, team: &TeamName) -> bool {
        self.starved.iter().any(|starved| starved != team)
    }

    /// Returns whether no other daemon can have owned this daemon's pieces at `moment`, so that
    /// leases which expired by then cannot have been renewed by a successor.
    ///
    /// A store read that was started later would show a successor. While the store is silent, no
    /// member with a later read has been heard of for so long that a successor would have been.
    pub(crate) fn was_owner_at(&self, moment: ClockTime, isolation_ms: u64) -> bool {
        let is_silent = self.standing == MemberStanding::StoreSilent;
        let silent_ms = self.now.since(self.standing_since.max(moment));
        self.store_read_at >= Some(moment) || (is_silent && silent_ms > 2 * isolation_ms)
    }

    /// Returns whether this daemon may start work, because its configuration is certain to be
    /// current.
    pub(crate) fn may_start(&self) -> bool {
        self.standing != MemberStanding::Isolated && self.is_caught_up
    }
}
