//! What every role may read: members, owners, manifest, hosts and digests.

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

/// Age of the last proof of life after which an owner gets no new work, in milliseconds.
const SILENT_OWNER_MS: u64 = 1_600;

/// A member as this daemon knows it.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct MemberEntry {
    /// Its record in the store, last seen.
    pub(crate) record: MemberRecord,
    /// Whether the record is still in the store.
    pub(crate) is_listed: bool,
    /// When its last message arrived.
    pub(crate) heard_at: Option<ClockTime>,
    /// When its record disappeared from the store.
    pub(crate) unlisted_at: Option<ClockTime>,
    /// Manifest version that it confirmed last.
    pub(crate) version: u64,
    /// Whether it said that it is shutting down.
    pub(crate) is_leaving: bool,
}

impl MemberEntry {
    /// Tells whether a proof of life is at most `within_ms` milliseconds old.
    pub(crate) fn is_heard(&self, now: ClockTime, within_ms: u64) -> bool {
        self.heard_at.is_some_and(|at| now.since(at) <= within_ms)
    }

    /// Returns for how long the member has been neither listed nor heard, in milliseconds; 0 while
    /// it is listed.
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
    /// Head that the document was read under.
    pub(crate) head: ManifestHead,
    /// The manifest.
    pub(crate) document: ManifestDocument,
    /// Its keys, found by name.
    pub(crate) keys: KeyIndex,
}

/// A rack summary with the time it arrived.
#[derive(Debug, Clone)]
pub(crate) struct SummaryEntry {
    /// The summary.
    pub(crate) summary: RackSummary,
    /// When it arrived.
    pub(crate) heard_at: ClockTime,
}

/// Tables that every role may read and only the configuration and ownership systems write.
#[derive(Debug)]
pub(crate) struct ClusterView {
    /// Time of the current tick.
    pub(crate) now: ClockTime,
    /// This daemon.
    pub(crate) me: MemberName,
    /// What this daemon may do.
    pub(crate) standing: MemberStanding,
    /// Whether this daemon is shutting down.
    pub(crate) is_leaving: bool,
    /// Whether the manifest has caught up with the store since this daemon was last isolated.
    pub(crate) is_caught_up: bool,
    /// When this daemon's freshest own news of the store were asked for.
    pub(crate) store_read_at: Option<ClockTime>,
    /// Since when the standing has been what it is.
    pub(crate) standing_since: ClockTime,
    /// Members by name, this daemon included once it is registered.
    pub(crate) members: BTreeMap<MemberName, MemberEntry>,
    /// Members to which there is a link.
    pub(crate) links: BTreeSet<MemberName>,
    /// Members that count for a majority.
    pub(crate) roster: MemberRoster,
    /// Ownership records.
    pub(crate) owners: BTreeMap<PieceName, OwnerEntry>,
    /// Number of pieces that each member is recorded as the owner of.
    owned_counts: FxHashMap<MemberName, usize>,
    /// The manifest.
    pub(crate) manifest: VersionedManifest,
    /// The host list.
    pub(crate) hosts: Vec<HostRow>,
    /// Rack summaries, this daemon's own included.
    pub(crate) summaries: BTreeMap<RackName, SummaryEntry>,
    /// Team digests, this daemon's own included.
    pub(crate) digests: BTreeMap<TeamName, TeamDigest>,
    /// Grows whenever `summaries` changes.
    pub(crate) summaries_generation: u64,
    /// Teams that wait below their entitlement.
    pub(crate) starved: Vec<TeamName>,
    /// Dominant share of the cell that each team with demand is entitled to, from 0 to 1.
    pub(crate) entitlements: FxHashMap<TeamName, f64>,
    /// What all open racks have.
    pub(crate) cell_capacity: Resources,
    /// What is allocated to each team in the whole cell.
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

    /// Tells whether a member is recorded as the owner of any piece.
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
        let same_boot = known.filter(|row| row.record.boot == record.boot);
        let (heard_at, version) = same_boot.map_or((None, 0), |row| (row.heard_at, row.version));
        let is_leaving = record.is_leaving;
        let member = record.member.clone();
        let row = MemberEntry {
            record,
            is_listed: true,
            heard_at,
            unlisted_at: None,
            version,
            is_leaving,
        };
        self.members.insert(member, row);
    }

    fn unlist_member(&mut self, key: &str) {
        let name = key.strip_prefix(MemberRecord::KEY_PREFIX).and_then(|name| name.parse().ok());
        let row = name.and_then(|name: MemberName| self.members.get_mut(&name));
        if let Some(row) = row {
            row.is_listed = false;
            row.unlisted_at = Some(self.now);
        }
    }

    /// Applies a change of an ownership record; returns its piece.
    pub(crate) fn apply_owner(&mut self, change: &FollowedChange) -> Option<PieceName> {
        let piece = PieceName::from_store_key(&change.key)?;
        // What is known of room in racks depends on who can be asked for it.
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

    /// Returns the members that may be given pieces.
    pub(crate) fn takers(&self) -> impl Iterator<Item = &MemberName> {
        self.members
            .iter()
            .filter(|(member, _)| self.roster.members.contains(*member))
            .filter(|(_, row)| row.is_listed && !row.is_leaving && !row.record.is_leaving)
            .map(|(member, _)| member)
    }

    /// Returns every piece: those with a record, the manifest's teams and the listed racks.
    pub(crate) fn pieces(&self) -> BTreeSet<PieceName> {
        let teams = self.manifest.document.teams.iter();
        let teams = teams.map(|team| PieceName::Team(team.name.clone()));
        let racks = self.hosts.iter().map(|row| PieceName::Rack(row.rack.clone()));
        self.owners.keys().cloned().chain(teams).chain(racks).collect()
    }

    /// Tells whether a recorded owner is gone: the store lists it no more under its boot number,
    /// and no message of it came for a member lease.
    pub(crate) fn is_owner_gone(&self, record: &OwnerRecord, config: &NodeConfig) -> bool {
        let Some(owner) = &record.owner else { return true };
        let Some(row) = self.members.get(owner) else { return true };
        if row.is_listed {
            return row.record.boot != record.boot;
        }
        let is_silent = row.heard_at.is_none_or(|at| self.now.since(at) > config.member_lease_ms);
        is_silent || row.record.boot != record.boot
    }

    /// Tells whether the recorded owner of a piece is this very process.
    pub(crate) fn is_mine(&self, piece: &PieceName, boot: u64) -> bool {
        self.owners.get(piece).is_some_and(|row| {
            row.record.owner.as_ref() == Some(&self.me) && row.record.boot == boot
        })
    }

    /// Returns the recorded owner of a piece.
    pub(crate) fn owner(&self, piece: &PieceName) -> Option<&MemberName> {
        self.owners.get(piece).and_then(|row| row.record.owner.as_ref())
    }

    /// Returns the recorded owner of a rack if a message to it can be sent now.
    pub(crate) fn reachable_owner(&self, rack: &RackName) -> Option<&MemberName> {
        let owner = self.owner(&PieceName::Rack(rack.clone()))?;
        let row = self.members.get(owner);
        let is_heard = row.is_some_and(|row| row.is_heard(self.now, SILENT_OWNER_MS));
        (*owner == self.me || (is_heard && self.links.contains(owner))).then_some(owner)
    }

    /// Returns the recorded epoch of a piece; 0 if it never had an owner.
    pub(crate) fn epoch(&self, piece: &PieceName) -> Epoch {
        self.owners.get(piece).map(|row| row.record.epoch).unwrap_or_default()
    }

    /// Tells whether an availability zone is in service. A zone that the manifest does not name
    /// is not.
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

    /// Returns how far a team's use of the cell is above its entitlement, as a dominant share; 0
    /// or less if it borrows nothing.
    pub(crate) fn borrowed_share(&self, team: &TeamName) -> f64 {
        let used = self.cell_usage.get(team).copied().unwrap_or(Resources::ZERO);
        let entitlement = self.entitlements.get(team).copied().unwrap_or(0.0);
        used.dominant_share(self.cell_capacity) - entitlement
    }

    /// Returns the dominant share of the cell that a team may claim.
    ///
    /// The part that its weight guarantees needs no exchange of demand: no division of the cell
    /// gives a team that wants it less.
    pub(crate) fn entitlement(&self, team: &TeamName) -> f64 {
        let teams = &self.manifest.document.teams;
        let total: u64 = teams.iter().map(|entry| u64::from(entry.share)).sum();
        let weight = self.team(team).map_or(0, |entry| u64::from(entry.share));
        #[allow(clippy::cast_precision_loss)]
        let guaranteed = if total == 0 { 0.0 } else { weight as f64 / total as f64 };
        self.entitlements.get(team).copied().unwrap_or(0.0).max(guaranteed)
    }

    /// Tells whether any other team waits below its entitlement.
    pub(crate) fn is_any_starved_but(&self, team: &TeamName) -> bool {
        self.starved.iter().any(|starved| starved != team)
    }

    /// Tells whether nobody else can have owned this daemon's pieces at `moment`, so that leases
    /// which ended by then cannot have been renewed by a successor.
    ///
    /// News of the store asked for later would show a successor. Without news, nobody who has
    /// any was heard of for so long that a taker would have been.
    pub(crate) fn was_owner_at(&self, moment: ClockTime, isolation_ms: u64) -> bool {
        let is_silent = self.standing == MemberStanding::StoreSilent;
        let silent_ms = self.now.since(self.standing_since.max(moment));
        self.store_read_at >= Some(moment) || (is_silent && silent_ms > 2 * isolation_ms)
    }

    /// Tells whether this daemon may start work: its configuration is provably current.
    pub(crate) fn may_start(&self) -> bool {
        self.standing != MemberStanding::Isolated && self.is_caught_up
    }
}
