//! Placement rules of the model: simpler policies, and this policy with a central scheduler.

use {
    super::model::{ModelCell, ModelJob},
    damaskrack_model::{PriorityClass, Resources},
    damaskrack_policy::{TeamDemand, WorkerFreeCapacity, choose_worker, entitlements},
    std::cmp::Reverse,
};

/// Decisions of a policy in the model.
pub(super) trait PlacementRule {
    /// Name in the report.
    fn name(&self) -> &'static str;

    /// Sorts waiting jobs into the order in which they are tried.
    fn sort(&self, jobs: &mut Vec<usize>, cell: &ModelCell<'_>);

    /// Returns whether a job may start work of this size now.
    fn may_start(&self, job: &ModelJob, need: Resources, cell: &ModelCell<'_>) -> bool;

    /// Chooses a worker with enough free capacity.
    fn choose(
        &self,
        free_capacities: &[WorkerFreeCapacity],
        need: Resources,
        draw: u64,
    ) -> Option<usize> {
        let _ = draw;
        free_capacities.iter().position(|free_capacity| free_capacity.fits(need))
    }

    /// Returns whether a job that fits on no worker may preempt tasks of other teams.
    fn may_preempt(&self, job: &ModelJob, need: Resources, cell: &ModelCell<'_>) -> bool {
        let _ = (job, need, cell);
        false
    }
}

/// First in, first out with first fit; jobs that do not fit are skipped.
#[derive(Debug)]
pub(super) struct FifoRule;

impl PlacementRule for FifoRule {
    fn name(&self) -> &'static str {
        "first in, first out"
    }

    fn sort(&self, jobs: &mut Vec<usize>, cell: &ModelCell<'_>) {
        jobs.sort_by_key(|&job| cell.jobs[job].arrival);
    }

    fn may_start(&self, _: &ModelJob, _: Resources, _: &ModelCell<'_>) -> bool {
        true
    }
}

/// Orders by priority class, team share and arrival; never preempts.
#[derive(Debug)]
pub(super) struct StrictPriorityRule;

impl PlacementRule for StrictPriorityRule {
    fn name(&self) -> &'static str {
        "strict priority"
    }

    fn sort(&self, jobs: &mut Vec<usize>, cell: &ModelCell<'_>) {
        jobs.sort_by_key(|&job| {
            let job = &cell.jobs[job];
            (Reverse(job.priority), Reverse(cell.mix.teams[job.team].share), job.arrival)
        });
    }

    fn may_start(&self, _: &ModelJob, _: Resources, _: &ModelCell<'_>) -> bool {
        true
    }
}

/// Limits each team to its share of the cell.
#[derive(Debug)]
pub(super) struct StaticPartitionRule;

impl PlacementRule for StaticPartitionRule {
    fn name(&self) -> &'static str {
        "static partitions"
    }

    fn sort(&self, jobs: &mut Vec<usize>, cell: &ModelCell<'_>) {
        jobs.sort_by_key(|&job| (Reverse(cell.jobs[job].priority), cell.jobs[job].arrival));
    }

    fn may_start(&self, job: &ModelJob, need: Resources, cell: &ModelCell<'_>) -> bool {
        let used = cell.used[job.team].saturating_add(need);
        used.dominant_share(cell.mix.capacity()) <= cell.guaranteed(job.team) + 1e-9
    }
}

/// The functions of this policy with complete knowledge and no delay; preemption and packing can be
/// turned off.
#[derive(Debug)]
pub(super) struct FairShareRule {
    pub(super) name: &'static str,
    pub(super) preempts: bool,
    pub(super) packs: bool,
}

impl FairShareRule {
    fn share_with(team: usize, extra: Resources, cell: &ModelCell<'_>) -> f64 {
        cell.used[team].saturating_add(extra).dominant_share(cell.open_capacity())
    }

    fn entitlements(cell: &ModelCell<'_>) -> Vec<f64> {
        let limit = cell.mix.capacity();
        let demands: Vec<TeamDemand> = (0..cell.mix.teams.len())
            .map(|team| TeamDemand {
                weight: cell.mix.teams[team].share,
                wanted: cell.used[team].saturating_add(cell.waiting[team]),
                limit,
            })
            .collect();
        entitlements(cell.open_capacity(), &demands)
    }

    fn is_entitled(job: &ModelJob, need: Resources, cell: &ModelCell<'_>) -> bool {
        let entitlement = Self::entitlements(cell)[job.team].max(cell.guaranteed(job.team));
        Self::share_with(job.team, need, cell) <= entitlement + 1e-9
    }
}

impl PlacementRule for FairShareRule {
    fn name(&self) -> &'static str {
        self.name
    }

    fn sort(&self, jobs: &mut Vec<usize>, cell: &ModelCell<'_>) {
        let entitled = Self::entitlements(cell);
        let need = |team: usize| {
            let share = Self::share_with(team, Resources::ZERO, cell);
            if entitled[team] > 0.0 { share / entitled[team] } else { 1.0 }
        };
        let needs: Vec<f64> = (0..cell.mix.teams.len()).map(need).collect();
        jobs.sort_by(|&left, &right| {
            let (left, right) = (&cell.jobs[left], &cell.jobs[right]);
            let is_urgent = |job: &ModelJob| job.priority == PriorityClass::Urgent;
            is_urgent(right)
                .cmp(&is_urgent(left))
                .then(needs[left.team].total_cmp(&needs[right.team]))
                .then(left.arrival.cmp(&right.arrival))
        });
    }

    fn may_start(&self, _: &ModelJob, _: Resources, _: &ModelCell<'_>) -> bool {
        true
    }

    fn choose(
        &self,
        free_capacities: &[WorkerFreeCapacity],
        need: Resources,
        draw: u64,
    ) -> Option<usize> {
        if self.packs {
            return choose_worker(free_capacities, need);
        }
        let start = usize::try_from(draw % free_capacities.len().max(1) as u64).unwrap_or(0);
        let mut order = (start..free_capacities.len()).chain(0..start);
        order.find(|&index| free_capacities[index].fits(need))
    }

    fn may_preempt(&self, job: &ModelJob, need: Resources, cell: &ModelCell<'_>) -> bool {
        self.preempts && Self::is_entitled(job, need, cell)
    }
}
