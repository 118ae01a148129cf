//! Cuts paths and silences connections.

use super::{ActiveFault, NetPlace, SimWorld};

impl SimWorld {
    pub(crate) fn cut(
        &mut self,
        from: Vec<NetPlace>,
        to: Vec<NetPlace>,
        is_both: bool,
        until_ms: u64,
    ) -> Vec<u64> {
        let fault = self.activate(ActiveFault::PathCut);
        for place in from.iter().chain(&to) {
            if let NetPlace::Node(node) = place {
                self.disturb(Some(*node), until_ms);
            }
        }
        self.drop_calls_across(&from, &to);
        if is_both {
            self.cuts.add(fault, to.clone(), from.clone());
        }
        self.cuts.add(fault, from, to);
        vec![fault]
    }

    /// Drops the calls that wait at stand-ins across a path: they time out at their nodes.
    pub(crate) fn drop_calls_across(&mut self, from: &[NetPlace], to: &[NetPlace]) {
        for (&a, &b) in from.iter().flat_map(|a| to.iter().map(move |b| (a, b))) {
            match (a, b) {
                (NetPlace::Node(node), NetPlace::Store)
                | (NetPlace::Store, NetPlace::Node(node)) => {
                    self.store.drop_watches(Some(node));
                }
                (NetPlace::Node(node), NetPlace::Worker(worker))
                | (NetPlace::Worker(worker), NetPlace::Node(node)) => {
                    self.fleet[worker].drop_calls(Some(node));
                }
                _ => {}
            }
        }
    }

    pub(crate) fn silence(&mut self, from: &[NetPlace], to: &[NetPlace]) {
        self.record.faults += 1;
        self.drop_calls_across(from, to);
        for (&a, &b) in from.iter().flat_map(|a| to.iter().map(move |b| (a, b))) {
            let (NetPlace::Node(a), NetPlace::Node(b)) = (a, b) else { continue };
            if let Some(row) = self.links.get_mut(a, b) {
                row.is_silent = row.is_up;
            }
        }
    }
}
