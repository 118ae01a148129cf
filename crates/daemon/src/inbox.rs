//! What waits for the next tick.
//!
//! Callers have a queue of their own, so that a flood of requests cannot hold back answers of
//! the store, the workers and the other daemons.

use {
    crate::control::ControlRequest,
    damaskrack_node::NodeInput,
    std::time::Duration,
    tokio::{
        sync::mpsc::{self, Receiver, Sender},
        time::{Instant, sleep_until},
    },
};

/// Most inputs of the daemon's own tasks that wait.
const SYSTEM_QUEUE_CAPACITY: usize = 4_096;
/// Most inputs of the daemon's own tasks in one tick.
const MAX_SYSTEM_BATCH: usize = 1_024;
/// Most callers' requests in one tick.
const MAX_CALLER_BATCH: usize = 256;
/// Most questions to the driver itself that wait.
const CONTROL_QUEUE_CAPACITY: usize = 16;
/// Longest time between two ticks, in milliseconds.
const TICK_INTERVAL_MS: u64 = 50;

/// Where inputs are handed in.
#[derive(Debug, Clone)]
pub(crate) struct InboxSender {
    /// For answers, peers' messages and operators' requests.
    pub(crate) system: Sender<NodeInput>,
    /// For callers' requests.
    pub(crate) callers: Sender<NodeInput>,
    /// For questions to the driver itself.
    pub(crate) control: Sender<ControlRequest>,
}

/// What woke the driver.
#[derive(Debug)]
pub(crate) enum InboxEvent {
    /// Inputs, or the time for a tick without any.
    Tick(Vec<NodeInput>),
    /// A question to the driver itself.
    Control(ControlRequest),
}

/// Where the driver takes inputs from.
#[derive(Debug)]
pub(crate) struct DriverInbox {
    system: Receiver<NodeInput>,
    callers: Receiver<NodeInput>,
    control: Receiver<ControlRequest>,
    due: Instant,
}

impl DriverInbox {
    /// Makes the queues; at most `caller_queue` callers' requests wait.
    pub(crate) fn new(caller_queue: usize) -> (InboxSender, Self) {
        let (system, system_inbox) = mpsc::channel(SYSTEM_QUEUE_CAPACITY);
        let (callers, caller_inbox) = mpsc::channel(caller_queue);
        let (control, control_inbox) = mpsc::channel(CONTROL_QUEUE_CAPACITY);
        let inbox = Self {
            system: system_inbox,
            callers: caller_inbox,
            control: control_inbox,
            due: Instant::now(),
        };
        (InboxSender { system, callers, control }, inbox)
    }

    /// Waits for inputs, at most until the next tick is due.
    pub(crate) async fn next_event(&mut self) -> InboxEvent {
        let mut batch = Vec::new();
        tokio::select! {
            biased;
            Some(call) = self.control.recv() => return InboxEvent::Control(call),
            Some(input) = self.system.recv() => batch.push(input),
            Some(input) = self.callers.recv() => batch.push(input),
            () = sleep_until(self.due) => {}
        }
        self.drain(&mut batch);
        self.due = Instant::now() + Duration::from_millis(TICK_INTERVAL_MS);
        InboxEvent::Tick(batch)
    }

    /// Takes what else has arrived, up to the bounds of one tick.
    fn drain(&mut self, batch: &mut Vec<NodeInput>) {
        while batch.len() < MAX_SYSTEM_BATCH {
            match self.system.try_recv() {
                Ok(input) => batch.push(input),
                Err(_) => break,
            }
        }
        for _ in 0..MAX_CALLER_BATCH {
            match self.callers.try_recv() {
                Ok(input) => batch.push(input),
                Err(_) => break,
            }
        }
    }
}
