//! Ends of network paths, and the table of cut paths.

use std::fmt;

/// An end of a network path.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum PathEnd {
    Node(usize),
    Worker(usize),
    Store,
}

impl fmt::Display for PathEnd {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Node(index) => write!(f, "node-{}", index + 1),
            Self::Worker(index) => write!(f, "worker-{}", index + 1),
            Self::Store => f.write_str("store"),
        }
    }
}

/// Directed network paths that drop all traffic.
///
/// Each cut is stored with its fault, so that healing one of two overlapping cuts keeps the other.
#[derive(Debug, Default)]
pub(crate) struct CutTable {
    /// Fault id, sources and destinations of each cut.
    cuts: Vec<(u64, Vec<PathEnd>, Vec<PathEnd>)>,
}

impl CutTable {
    pub(crate) fn add(&mut self, fault: u64, from: Vec<PathEnd>, to: Vec<PathEnd>) {
        self.cuts.push((fault, from, to));
    }

    pub(crate) fn heal(&mut self, fault: u64) {
        self.cuts.retain(|(id, _, _)| *id != fault);
    }

    /// Returns whether traffic from `from` to `to` is dropped.
    pub(crate) fn is_cut(&self, from: PathEnd, to: PathEnd) -> bool {
        self.cuts.iter().any(|(_, froms, tos)| froms.contains(&from) && tos.contains(&to))
    }

    pub(crate) fn is_cut_either_way(&self, a: PathEnd, b: PathEnd) -> bool {
        self.is_cut(a, b) || self.is_cut(b, a)
    }
}
