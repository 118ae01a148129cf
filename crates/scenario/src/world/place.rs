//! Ends of a network path, and the paths that are cut.

use std::fmt;

/// An end of a network path.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum NetPlace {
    Node(usize),
    Worker(usize),
    Store,
}

impl fmt::Display for NetPlace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Node(index) => write!(f, "node-{}", index + 1),
            Self::Worker(index) => write!(f, "worker-{}", index + 1),
            Self::Store => f.write_str("store"),
        }
    }
}

/// Directed paths that lose everything.
///
/// Cuts are kept one by one, so that healing one of two that overlap leaves the other.
#[derive(Debug, Default)]
pub(crate) struct CutTable {
    cuts: Vec<(u64, Vec<NetPlace>, Vec<NetPlace>)>,
}

impl CutTable {
    pub(crate) fn add(&mut self, fault: u64, from: Vec<NetPlace>, to: Vec<NetPlace>) {
        self.cuts.push((fault, from, to));
    }

    pub(crate) fn heal(&mut self, fault: u64) {
        self.cuts.retain(|(id, _, _)| *id != fault);
    }

    pub(crate) fn is_cut(&self, from: NetPlace, to: NetPlace) -> bool {
        self.cuts.iter().any(|(_, froms, tos)| froms.contains(&from) && tos.contains(&to))
    }

    pub(crate) fn is_cut_either_way(&self, a: NetPlace, b: NetPlace) -> bool {
        self.is_cut(a, b) || self.is_cut(b, a)
    }
}
