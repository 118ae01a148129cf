//! State machine of the host list, independent of the HTTP server and the system clock.

use {
    damaskrack_model::WorkerName,
    damaskrack_outside::{HostRow, HostState},
    std::collections::{BTreeMap, VecDeque},
};

#[derive(Debug)]
enum HostChange {
    Put(HostRow),
    Mark(WorkerName, HostState),
    Remove(WorkerName),
}

/// Hosts as readers see them: every change becomes visible after a lag.
///
/// # Examples
///
/// ```
/// use {damaskrack_outside::{HostRow, HostState}, damaskrack_standin::HostTable};
///
/// let row = HostRow {
///     worker: "w1".parse()?,
///     rack: "r1".parse()?,
///     zone: "a".parse()?,
///     address: "127.0.0.1:1".parse()?,
///     capacity: Default::default(),
///     state: HostState::Live,
/// };
/// let mut table = HostTable::new(500);
/// table.put(row, 0);
/// assert_eq!(table.read(499).map(|rows| rows.len()), Some(0));
/// assert_eq!(table.read(500).map(|rows| rows.len()), Some(1));
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Debug)]
pub struct HostTable {
    rows: BTreeMap<WorkerName, HostRow>,
    changes: VecDeque<(u64, HostChange)>,
    lag_ms: u64,
    is_out: bool,
}

impl HostTable {
    /// Creates an empty list whose changes become visible after `lag_ms` milliseconds.
    #[must_use]
    pub fn new(lag_ms: u64) -> Self {
        Self { rows: BTreeMap::new(), changes: VecDeque::new(), lag_ms, is_out: false }
    }

    /// Creates a list in which `rows` are visible from the start.
    #[must_use]
    pub fn with_rows(rows: impl IntoIterator<Item = HostRow>, lag_ms: u64) -> Self {
        let mut table = Self::new(lag_ms);
        table.rows = rows.into_iter().map(|row| (row.worker.clone(), row)).collect();
        table
    }

    /// Adds or replaces a host.
    pub fn put(&mut self, row: HostRow, now_ms: u64) {
        self.change(HostChange::Put(row), now_ms);
    }

    /// Changes the state of a host.
    pub fn mark(&mut self, worker: &WorkerName, state: HostState, now_ms: u64) {
        self.change(HostChange::Mark(worker.clone(), state), now_ms);
    }

    /// Removes a host from the list.
    pub fn remove(&mut self, worker: &WorkerName, now_ms: u64) {
        self.change(HostChange::Remove(worker.clone()), now_ms);
    }

    /// Sets the lag of later changes.
    pub fn set_lag_ms(&mut self, lag_ms: u64) {
        self.lag_ms = lag_ms;
    }

    /// Starts or ends an outage.
    pub fn set_outage(&mut self, is_out: bool) {
        self.is_out = is_out;
    }

    /// Returns the visible hosts, or `None` during an outage.
    pub fn read(&mut self, now_ms: u64) -> Option<Vec<HostRow>> {
        self.advance(now_ms);
        (!self.is_out).then(|| self.rows.values().cloned().collect())
    }

    /// Applies the changes whose lag is over.
    pub fn advance(&mut self, now_ms: u64) {
        while let Some((_, change)) =
            self.changes.pop_front_if(|(visible_ms, _)| *visible_ms <= now_ms)
        {
            self.apply(change);
        }
    }

    fn change(&mut self, change: HostChange, now_ms: u64) {
        // After the lag is shortened, a later change must not overtake an earlier one.
        let earliest_ms = self.changes.back().map_or(0, |(visible_ms, _)| *visible_ms);
        let visible_ms = now_ms.saturating_add(self.lag_ms).max(earliest_ms);
        self.changes.push_back((visible_ms, change));
    }

    fn apply(&mut self, change: HostChange) {
        match change {
            HostChange::Put(row) => {
                self.rows.insert(row.worker.clone(), row);
            }
            HostChange::Mark(worker, state) => {
                if let Some(row) = self.rows.get_mut(&worker) {
                    row.state = state;
                }
            }
            HostChange::Remove(worker) => {
                self.rows.remove(&worker);
            }
        }
    }
}
