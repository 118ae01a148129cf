//! Which daemon calls a worker for the leader.
//!
//! Requests to workers are most of what a leader sends and receives. Behind a wide link it sends them
//! itself, which is fastest and involves no other host. Where they would take much of its link, a
//! daemon in the worker's availability zone sends them: a request between daemons is a fraction of
//! the size, a job's payload crosses the leader's link once a daemon instead of once a task, and the
//! traffic with workers stays within the zone.

use {
    crate::frame::HelloFrame,
    damaskrack_cell::WorkerReport,
    rustc_hash::{FxHashMap, FxHashSet, FxHasher},
    std::hash::{Hash, Hasher},
};

/// Bytes per second that a worker takes of the leader's link under load.
const WORKER_BYTES_PER_S: u64 = 2_000;
/// Share of the leader's link that workers may take, in percent.
const MAX_LINK_PERCENT: u64 = 40;
/// Number of workers of a zone for each daemon that calls them.
const WORKERS_PER_DAEMON: usize = 32;

/// Number of workers that is assumed while their number is not known.
pub(crate) const TYPICAL_WORKERS: usize = 100;

/// Returns whether a leader with this link should leave the calls to its workers to other daemons.
pub(crate) fn needs_forwarding(link_bytes_per_s: u64, workers: usize) -> bool {
    let needed = WORKER_BYTES_PER_S * workers as u64;
    link_bytes_per_s > 0 && needed * 100 > link_bytes_per_s * MAX_LINK_PERCENT
}

/// Assigns a daemon to each worker, by the worker's id. A worker in a zone without a daemon has none.
pub(crate) fn assign_daemons<'a>(
    workers: impl Iterator<Item = &'a WorkerReport>,
    daemons: &[HelloFrame],
    avoided: &FxHashSet<u64>,
) -> FxHashMap<String, u64> {
    let mut zones: FxHashMap<&str, Vec<&WorkerReport>> = FxHashMap::default();
    for worker in workers {
        zones.entry(&worker.zone).or_default().push(worker);
    }
    let mut assigned = FxHashMap::default();
    for (zone, workers) in zones {
        let is_usable = |daemon: &&HelloFrame| {
            daemon.zone == zone && !daemon.is_leaving && !avoided.contains(&daemon.daemon)
        };
        let usable: Vec<u64> =
            daemons.iter().filter(is_usable).map(|daemon| daemon.daemon).collect();
        let shards = workers.len().div_ceil(WORKERS_PER_DAEMON);
        for worker in workers {
            let shard = hash(worker.labels.last()) % shards as u64;
            let chosen = choose_by_rendezvous(usable.iter().copied(), (zone, shard));
            assigned.extend(chosen.map(|daemon| (worker.id.clone(), daemon)));
        }
    }
    assigned
}

/// Chooses a daemon for a key by rendezvous hashing: when a daemon comes or goes, few keys change
/// theirs.
pub(crate) fn choose_by_rendezvous(
    daemons: impl Iterator<Item = u64>,
    key: impl Hash,
) -> Option<u64> {
    daemons.max_by_key(|daemon| hash((&key, daemon)))
}

fn hash(value: impl Hash) -> u64 {
    let mut hasher = FxHasher::default();
    value.hash(&mut hasher);
    hasher.finish()
}

#[cfg(test)]
mod tests;
