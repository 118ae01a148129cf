//! Cuts network paths and silences connections.

use super::{ActiveFault, PathEnd, SimWorld};

impl SimWorld {
    /// Cuts the paths from one set of ends to another, and the reverse paths if `is_both`. Returns
    /// the id of the fault.
    pub(crate) fn cut_paths(
        &mut self,
        from: Vec<PathEnd>,
        to: Vec<PathEnd>,
        is_both: bool,
        until_ms: u64,
    ) -> Vec<u64> {
        let fault = self.activate(ActiveFault::PathCut);
        for end in from.iter().chain(&to) {
            if let PathEnd::Node(node) = end {
                self.record_disturbance(Some(*node), until_ms);
            }
        }
        self.drop_calls_across(&from, &to);
        if is_both {
            self.cuts.add(fault, to.clone(), from.clone());
        }
        self.cuts.add(fault, from, to);
        vec![fault]
    }

    /// Drops the calls that wait at stand-ins at either end of the paths; they time out at their
    /// nodes.
    pub(crate) fn drop_calls_across(&mut self, from: &[PathEnd], to: &[PathEnd]) {
        for (&a, &b) in from.iter().flat_map(|a| to.iter().map(move |b| (a, b))) {
            match (a, b) {
                (PathEnd::Node(node), PathEnd::Store) | (PathEnd::Store, PathEnd::Node(node)) => {
                    self.store.drop_watches(Some(node));
                }
                (PathEnd::Node(node), PathEnd::Worker(worker))
                | (PathEnd::Worker(worker), PathEnd::Node(node)) => {
                    self.fleet[worker].drop_calls(Some(node));
                }
                _ => {}
            }
        }
    }

    /// Makes open connections drop all frames without closing, until they are replaced.
    pub(crate) fn silence_links(&mut self, from: &[PathEnd], to: &[PathEnd]) {
        self.record.faults += 1;
        self.drop_calls_across(from, to);
        for (&a, &b) in from.iter().flat_map(|a| to.iter().map(move |b| (a, b))) {
            let (PathEnd::Node(a), PathEnd::Node(b)) = (a, b) else { continue };
            if let Some(link) = self.links.get_mut(a, b) {
                link.is_silent = link.is_up;
            }
        }
    }
}
