//! Resolves a script's fault targets against the current state of the world.

use {
    super::{PathEnd, SimWorld},
    crate::script::FaultTarget,
    damaskrack_ownership::{OwnerRecord, PieceName},
};

impl SimWorld {
    pub(crate) fn resolve_nodes(&mut self, target: &FaultTarget) -> Vec<usize> {
        let ends = self.resolve(target);
        let node = |end: PathEnd| match end {
            PathEnd::Node(node) => Some(node),
            PathEnd::Worker(_) | PathEnd::Store => None,
        };
        ends.into_iter().filter_map(node).collect()
    }

    pub(crate) fn resolve_workers(&mut self, target: &FaultTarget) -> Vec<usize> {
        let ends = self.resolve(target);
        let worker = |end: PathEnd| match end {
            PathEnd::Worker(worker) => Some(worker),
            PathEnd::Node(_) | PathEnd::Store => None,
        };
        ends.into_iter().filter_map(worker).collect()
    }

    pub(crate) fn resolve_all(&mut self, targets: &[FaultTarget]) -> Vec<PathEnd> {
        targets.iter().flat_map(|target| self.resolve(target)).collect()
    }

    /// Returns the path ends that a target stands for now; none if it doesn't exist.
    pub(crate) fn resolve(&mut self, target: &FaultTarget) -> Vec<PathEnd> {
        let (nodes, workers) = (self.nodes.len(), self.fleet.len());
        match target {
            FaultTarget::Node(node) if *node < nodes => vec![PathEnd::Node(*node)],
            FaultTarget::Worker(worker) if *worker < workers => vec![PathEnd::Worker(*worker)],
            FaultTarget::Node(_) | FaultTarget::Worker(_) => Vec::new(),
            FaultTarget::Store => vec![PathEnd::Store],
            FaultTarget::OwnerOf(piece) => {
                self.owner_of(piece).map(|(node, _)| PathEnd::Node(node)).into_iter().collect()
            }
            FaultTarget::AnyNode => {
                let running: Vec<_> = (0..nodes).filter(|&i| self.nodes[i].is_running()).collect();
                let index = usize::try_from(self.random_below(running.len() as u64)).unwrap_or(0);
                running.get(index).map(|&node| PathEnd::Node(node)).into_iter().collect()
            }
            FaultTarget::AnyWorker => {
                let index = usize::try_from(self.random_below(workers as u64)).unwrap_or(0);
                vec![PathEnd::Worker(index)]
            }
            FaultTarget::AllNodes => (0..nodes).map(PathEnd::Node).collect(),
            FaultTarget::AllWorkers => (0..workers).map(PathEnd::Worker).collect(),
        }
    }

    /// Returns the node that the store records as a piece's owner, and the owner record.
    pub(crate) fn owner_of(&self, piece: &PieceName) -> Option<(usize, OwnerRecord)> {
        let entry = self.store.table.entry(&piece.store_key())?;
        let record = OwnerRecord::from_json(&entry.value).ok()?;
        let node = self.node_index(record.owner.as_ref()?)?;
        Some((node, record))
    }
}
