//! What every role may read: members, owners, manifest, hosts and digests.

use {
    damaskrack_manifest::{ManifestDocument, QueueEntry, TeamEntry, ZoneState},
    damaskrack_model::{
        ClockTime, Epoch, MemberName, QueueName, RackName, Resources, TeamName, ZoneName,
    },
    damaskrack_ownership::{MemberRecord, MemberStanding, OwnerRecord, PieceName},
    damaskrack_platform::HostRow,
    damaskrack_wire::{RackSummary, TeamDigest},
    rustc_hash::FxHashMap,
    serde::Serialize,
    std::collections::BTreeMap,
};

/// A member as this daemon knows it.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct MemberRow {
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

/// An ownership record as this daemon knows it.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct OwnerRow {
    /// The record.
    pub(crate) record: OwnerRecord,
    /// Store revision of the record.
    pub(crate) revision: u64,
}

/// A manifest with its version.
#[derive(Debug, Clone, Default, Serialize)]
pub(crate) struct ManifestRow {
    /// Version; 0 if there is none yet.
    pub(crate) version: u64,
    /// The manifest. Keys are left out of dumps.
    #[serde(skip)]
    pub(crate) document: ManifestDocument,
}

/// A rack summary with the time it arrived.
#[derive(Debug, Clone)]
pub(crate) struct SummaryRow {
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
    /// Members by name, this daemon included once it is registered.
    pub(crate) members: BTreeMap<MemberName, MemberRow>,
    /// Ownership records.
    pub(crate) owners: FxHashMap<PieceName, OwnerRow>,
    /// The manifest.
    pub(crate) manifest: ManifestRow,
    /// The host list.
    pub(crate) hosts: Vec<HostRow>,
    /// Rack summaries, this daemon's own included.
    pub(crate) summaries: BTreeMap<RackName, SummaryRow>,
    /// Team digests, this daemon's own included.
    pub(crate) digests: BTreeMap<TeamName, TeamDigest>,
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
            members: BTreeMap::new(),
            owners: FxHashMap::default(),
            manifest: ManifestRow::default(),
            hosts: Vec::new(),
            summaries: BTreeMap::new(),
            digests: BTreeMap::new(),
            entitlements: FxHashMap::default(),
            cell_capacity: Resources::ZERO,
            cell_usage: FxHashMap::default(),
        }
    }

    /// Returns the other members that count for a majority: those that are listed, and those
    /// that still own something under the boot number they were last listed with.
    pub(crate) fn known_members(&self) -> Vec<&MemberRow> {
        self.members
            .iter()
            .filter(|(member, row)| **member != self.me && self.is_known(member, row))
            .map(|(_, row)| row)
            .collect()
    }

    fn is_known(&self, member: &MemberName, row: &MemberRow) -> bool {
        row.is_listed || self.owns_anything(member)
    }

    /// Tells whether a member is recorded as the owner of any piece.
    pub(crate) fn owns_anything(&self, member: &MemberName) -> bool {
        self.owners.values().any(|row| row.record.owner.as_ref() == Some(member))
    }

    /// Returns the recorded owner of a piece.
    pub(crate) fn owner(&self, piece: &PieceName) -> Option<&MemberName> {
        self.owners.get(piece).and_then(|row| row.record.owner.as_ref())
    }

    /// Returns the recorded epoch of a piece; 0 if it never had an owner.
    pub(crate) fn epoch(&self, piece: &PieceName) -> Epoch {
        self.owners.get(piece).map(|row| row.record.epoch).unwrap_or_default()
    }

    /// Tells whether an availability zone is in service. A zone that the manifest does not name
    /// is not.
    pub(crate) fn is_zone_in(&self, zone: &ZoneName) -> bool {
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

    /// Tells whether this daemon may start work: its configuration is provably current.
    pub(crate) fn may_start(&self) -> bool {
        self.standing != MemberStanding::Isolated && self.manifest.version > 0
    }
}
