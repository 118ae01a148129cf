//! Starts, pauses, kills and shuts down the processes of nodes.

use {
    super::{ActiveFault, SimWorld, TICK_INTERVAL_MS, WorldEvent},
    crate::observe::{SeenLoss, SeenShutdown},
    damaskrack_node::NodeInput,
    damaskrack_ownership::{OwnerRecord, PieceName},
    rand::Rng,
};

/// Wall clock at which every run begins, in Unix milliseconds.
const CLOCK_BASE_MS: u64 = 1_796_000_000_000;

/// Upper bound of the difference between two nodes' clocks, in milliseconds.
const CLOCK_SKEW_MS: u64 = 2_000;

/// Delay from the start of a process to its first read of the host list, in milliseconds.
const FIRST_HOSTS_READ_MS: u64 = 20;

impl SimWorld {
    /// Records the loss of every piece that a node's process owns according to the store.
    pub(crate) fn record_losses(&mut self, node: usize) {
        let (member, boot) = (self.nodes[node].member.clone(), self.nodes[node].boot);
        let pieces: Vec<PieceName> = self
            .store
            .table
            .history()
            .filter_map(|write| PieceName::from_store_key(&write.key))
            .collect::<std::collections::BTreeSet<_>>()
            .into_iter()
            .collect();
        for piece in pieces {
            let Some((_, record)) = self.owner_of(&piece) else { continue };
            if record.owner.as_ref() == Some(&member) && record.boot == boot {
                self.record.losses.push(SeenLoss {
                    piece,
                    epoch: record.epoch,
                    lost_ms: self.now_ms,
                    replaced_ms: None,
                    returned_ms: None,
                });
            }
        }
    }

    /// Kills a node's process; a shutdown in progress is marked as spoiled.
    pub(crate) fn kill_node(&mut self, node: usize) {
        if !self.nodes[node].is_alive() {
            return;
        }
        self.record_losses(node);
        for shutdown in &mut self.record.shutdowns {
            if shutdown.node == node && shutdown.ended_ms.is_none() {
                shutdown.is_spoiled = true;
            }
        }
        self.end_process(node);
    }

    /// Ends a node's process and breaks its connections and calls.
    pub(crate) fn end_process(&mut self, node: usize) {
        self.record.note_down(node, self.now_ms);
        let waiters = self.nodes[node].stop();
        self.store.drop_watches(Some(node));
        for worker in &mut self.fleet {
            worker.drop_calls(Some(node));
        }
        self.break_links_to(node);
        for (_, waiter) in waiters {
            self.break_waiter(waiter);
        }
    }

    /// Starts a node's process unless it already has one.
    pub(crate) fn start_node(&mut self, node: usize) {
        if self.nodes[node].is_alive() {
            return;
        }
        let boot = self.rng.random_range(1..u64::MAX);
        let clock_base_ms = CLOCK_BASE_MS + self.random_below(CLOCK_SKEW_MS);
        self.nodes[node].start(boot, clock_base_ms);
        let life = self.nodes[node].life;
        self.record.lives.push((node, life, self.now_ms));
        self.record.note_up(node, self.now_ms);
        self.trace.line(self.now_ms, || format!("START node-{} boot {boot}", node + 1));
        let first_ms = self.random_below(TICK_INTERVAL_MS);
        self.queue.push(self.now_ms + first_ms, WorldEvent::Tick { node, life });
        let read_ms = self.now_ms + FIRST_HOSTS_READ_MS;
        self.queue.push(read_ms, WorldEvent::HostsRead { node, life });
    }

    /// Pauses a node's process, as SIGSTOP does.
    pub(crate) fn pause_node(&mut self, node: usize) -> ActiveFault {
        if self.nodes[node].is_running() {
            self.record_losses(node);
            self.nodes[node].is_paused = true;
        }
        ActiveFault::NodePaused { node, life: self.nodes[node].life }
    }

    /// Resumes a paused process. Inputs that arrived meanwhile were queued, and calls without a
    /// response time out. Its outgoing connections survive the pause with a probability of one
    /// half.
    pub(crate) fn resume_node(&mut self, node: usize, life: u64) {
        if self.nodes[node].life != life || !self.nodes[node].is_paused {
            return;
        }
        self.nodes[node].is_paused = false;
        let (boot, now_ms) = (self.nodes[node].boot, self.now_ms);
        for loss in &mut self.record.losses {
            if loss.returned_ms.is_none() && loss.lost_ms <= now_ms {
                let is_owner =
                    self.store.table.entry(&loss.piece.store_key()).is_some_and(|entry| {
                        OwnerRecord::from_json(&entry.value).is_ok_and(|record| record.boot == boot)
                    });
                loss.returned_ms = is_owner.then_some(now_ms);
            }
        }
        if self.random_chance(50) {
            self.break_links_from(node);
        }
        for origin in std::mem::take(&mut self.nodes[node].overdue) {
            let input = self.response_lost_input(origin);
            self.finish_call(origin, input);
        }
        self.queue.push(self.now_ms, WorldEvent::Wake { node, life });
    }

    /// Closes a node's outgoing connections.
    pub(crate) fn break_links_from(&mut self, node: usize) {
        for (from, to) in self.links.pairs() {
            let Some(link) = self.links.get_mut(from, to) else { continue };
            if from == node && link.is_up {
                link.is_up = false;
                let member = self.nodes[to].member.clone();
                self.push_input(node, NodeInput::PeerDown { member });
            }
        }
    }

    /// Asks a running process to shut down.
    pub(crate) fn shut_node_down(&mut self, node: usize) {
        if !self.nodes[node].is_running() {
            return;
        }
        self.nodes[node].shutdown_ms = Some(self.now_ms);
        self.record.shutdowns.push(SeenShutdown {
            node,
            asked_ms: self.now_ms,
            ended_ms: None,
            cut_calls: 0,
            is_spoiled: false,
        });
        self.push_input(node, NodeInput::Shutdown);
    }

    /// Records the end of a shutdown with the calls that it cut off, and ends the process.
    pub(crate) fn on_exit(&mut self, node: usize) {
        self.trace.line(self.now_ms, || format!("EXIT node-{}", node + 1));
        let cut_calls = self.nodes[node].waiters.len();
        let now_ms = self.now_ms;
        let shutdowns = &mut self.record.shutdowns;
        if let Some(shutdown) = shutdowns.iter_mut().rev().find(|shutdown| shutdown.node == node) {
            shutdown.ended_ms.get_or_insert(now_ms);
            shutdown.cut_calls += cut_calls;
        }
        if self.nodes[node].is_alive() {
            self.end_process(node);
        }
    }
}
