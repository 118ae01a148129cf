//! Names, owners and store records of a simulated cell.

use {
    damaskrack_manifest::{
        HEAD_KEY, ManifestDocument, ManifestHead, ManifestSection, QueueEntry, TeamEntry,
        TeamLimit, ZoneEntry, ZoneState, section_hash, section_json, section_key,
    },
    damaskrack_model::{
        Epoch, MemberName, NameError, PriorityClass, QueueName, RackName, Resources, TeamName,
    },
    damaskrack_outside::{HostRow, HostState, StoreCall},
    damaskrack_ownership::{MemberRecord, MemberRoster, OwnerRecord, PieceName, suggest_owner},
    std::net::{Ipv4Addr, SocketAddr},
};

/// Workers per rack.
const WORKERS_PER_RACK: usize = 8;

/// Workers per daemon in cells with more than the minimum number of daemons.
const WORKERS_PER_DAEMON: usize = 58;

/// Minimum number of daemons.
const MIN_DAEMONS: usize = 8;

/// Number of availability zones.
const ZONES: usize = 3;

/// Boot number of every simulated peer.
pub(super) const PEER_BOOT_NUMBER: u64 = 99;

/// Name of the node that is measured.
pub(super) const NODE: &str = "node-0";

/// Capacity of each worker.
pub(super) const WORKER: Resources =
    Resources { millicores: 16_000, memory_bytes: 32 << 30, accelerators: 0 };

/// Kind of pieces that the measured node owns.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum OwnedPieces {
    Teams,
    Racks,
}

/// Size of a cell.
#[derive(Debug, Clone, Copy)]
pub(super) struct CellSize {
    pub(super) workers: usize,
    pub(super) teams: usize,
    daemons: Option<usize>,
}

impl CellSize {
    /// Returns a size; `daemons` defaults to one for every 58 workers and at least 8.
    pub(super) fn new(workers: usize, teams: usize, daemons: Option<usize>) -> Self {
        Self { workers, teams, daemons }
    }

    pub(super) fn racks(self) -> usize {
        self.workers.div_ceil(WORKERS_PER_RACK)
    }

    pub(super) fn daemons(self) -> usize {
        let default_count = self.workers.div_ceil(WORKERS_PER_DAEMON).max(MIN_DAEMONS);
        self.daemons.unwrap_or(default_count).max(2)
    }

    /// Returns the names of all daemons, the measured node first.
    pub(super) fn members(self) -> Vec<MemberName> {
        (0..self.daemons()).filter_map(|index| format!("node-{index}").parse().ok()).collect()
    }

    /// Returns the number of teams that the measured node owns.
    pub(super) fn owned_teams(self) -> usize {
        self.teams.div_ceil(self.daemons())
    }

    /// Returns the number of racks that the measured node owns.
    pub(super) fn owned_racks(self) -> usize {
        self.racks().div_ceil(self.daemons())
    }
}

/// A piece and the index of the daemon that owns it; 0 is the measured node.
#[derive(Debug, Clone)]
pub(super) struct PlacedPiece<N> {
    pub(super) name: N,
    pub(super) owner: usize,
}

/// Names and owners of the teams and racks of a cell. Every piece has the owner that rendezvous
/// hashing assigns to it, so that no daemon transfers any.
#[derive(Debug, Clone)]
pub(super) struct CellPlan {
    pub(super) size: CellSize,
    pub(super) teams: Vec<PlacedPiece<TeamName>>,
    pub(super) racks: Vec<PlacedPiece<RackName>>,
}

impl CellPlan {
    /// Plans a cell in which the measured node owns its part of the teams, or of the racks.
    pub(super) fn new(size: CellSize, owned_pieces: OwnedPieces) -> Result<Self, NameError> {
        let (own_teams, own_racks) = match owned_pieces {
            OwnedPieces::Teams => (size.owned_teams(), 0),
            OwnedPieces::Racks => (0, size.owned_racks()),
        };
        let members = size.members();
        Ok(Self {
            size,
            teams: place_pieces(&members, (size.teams, own_teams), "team", PieceName::Team)?,
            racks: place_pieces(&members, (size.racks(), own_racks), "rack", PieceName::Rack)?,
        })
    }

    /// Returns the name of the queue of a team.
    pub(super) fn queue(team: &TeamName) -> Result<QueueName, NameError> {
        format!("{team}-queue").parse()
    }

    pub(super) fn hosts(&self) -> Result<Vec<HostRow>, NameError> {
        (0..self.size.workers)
            .map(|index| {
                let rack = index / WORKERS_PER_RACK;
                let port = 10_000 + u16::try_from(index % 50_000).unwrap_or(0);
                Ok(HostRow {
                    worker: format!("worker-{index}").parse()?,
                    rack: self.racks[rack].name.clone(),
                    zone: format!("zone-{}", rack % ZONES).parse()?,
                    address: SocketAddr::from((Ipv4Addr::LOCALHOST, port)),
                    capacity: WORKER,
                    state: HostState::Live,
                })
            })
            .collect()
    }

    fn manifest(&self) -> Result<ManifestDocument, NameError> {
        let limit = TeamLimit {
            tasks: 1_000_000,
            resources: Resources {
                millicores: u64::MAX >> 16,
                memory_bytes: u64::MAX >> 16,
                accelerators: 1_000_000,
            },
        };
        let mut manifest = ManifestDocument::default();
        for team in &self.teams {
            manifest.queues.push(QueueEntry {
                name: Self::queue(&team.name)?,
                team: team.name.clone(),
                open: true,
                highest_priority: PriorityClass::Urgent,
            });
            manifest.teams.push(TeamEntry { name: team.name.clone(), share: 1, limit });
        }
        for index in 0..ZONES {
            let name = format!("zone-{index}").parse()?;
            manifest.zones.push(ZoneEntry { name, state: ZoneState::In });
        }
        Ok(manifest)
    }

    /// Returns the writes that put the records of the cell into an empty store. Pieces that the
    /// measured node is to take over have no owner record yet.
    pub(super) fn records(&self) -> Result<Vec<StoreCall>, NameError> {
        let mut records = manifest_records(&self.manifest()?);
        let mut roster = MemberRoster::default();
        roster.members.insert(NODE.parse()?);
        for peer in 1..self.size.daemons() {
            let member: MemberName = format!("node-{peer}").parse()?;
            let record = MemberRecord {
                member: member.clone(),
                boot: PEER_BOOT_NUMBER,
                address: SocketAddr::from((Ipv4Addr::LOCALHOST, 7_000)),
                zone: format!("zone-{}", peer % ZONES).parse()?,
                is_leaving: false,
            };
            records.push((MemberRecord::store_key(&member), record.to_json()));
            roster.members.insert(member);
        }
        records.push((MemberRoster::STORE_KEY.to_owned(), roster.to_json()));
        let racks = self.racks.iter().map(|rack| (PieceName::Rack(rack.name.clone()), rack.owner));
        let teams = self.teams.iter().map(|team| (PieceName::Team(team.name.clone()), team.owner));
        for (piece, owner) in racks.chain(teams).filter(|(_, owner)| *owner > 0) {
            let owner = Some(format!("node-{owner}").parse()?);
            let record = OwnerRecord { owner, boot: PEER_BOOT_NUMBER, epoch: Epoch(1), write: 1 };
            records.push((piece.store_key(), record.to_json()));
        }
        let put = |(key, value)| StoreCall::Put { key, expected: 0, value, lease: 0 };
        Ok(records.into_iter().map(put).collect())
    }
}

/// Finds names for `count` pieces such that rendezvous hashing assigns the first `owned_count` to
/// the measured node and none of the others.
fn place_pieces<N: Clone + std::str::FromStr<Err = NameError>>(
    members: &[MemberName],
    (count, owned_count): (usize, usize),
    prefix: &str,
    to_piece: impl Fn(N) -> PieceName,
) -> Result<Vec<PlacedPiece<N>>, NameError> {
    let mut pieces = Vec::with_capacity(count);
    let mut serial = 0;
    while pieces.len() < count {
        let name: N = format!("{prefix}-{serial}").parse()?;
        serial += 1;
        let owner = suggest_owner(&to_piece(name.clone()), members)
            .and_then(|owner| members.iter().position(|member| member == owner))
            .unwrap_or(0);
        if (owner == 0) == (pieces.len() < owned_count) {
            pieces.push(PlacedPiece { name, owner });
        }
    }
    Ok(pieces)
}

fn manifest_records(manifest: &ManifestDocument) -> Vec<(String, String)> {
    let mut head = ManifestHead { version: 1, change: 1, ..ManifestHead::default() };
    let mut records = Vec::new();
    for section in ManifestSection::ALL {
        let json = section_json(manifest, section);
        let hash = section_hash(&json);
        records.push((section_key(section, &hash), json));
        head.sections.insert(section.name().to_owned(), hash);
    }
    records.push((HEAD_KEY.to_owned(), head.to_json()));
    records
}
