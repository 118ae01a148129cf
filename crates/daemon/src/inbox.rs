//! The driver's input queues.
//!
//! Callers have a separate queue, so that a flood of their requests cannot delay responses of the
//! store, the workers and the other daemons.

use {
    crate::control::ControlRequest,
    damaskrack_node::NodeInput,
    std::time::Duration,
    tokio::{
        sync::mpsc::{self, Receiver, Sender},
        time::{Instant, sleep_until},
    },
};

/// Capacity of the queue of the daemon's own tasks.
const SYSTEM_QUEUE_CAPACITY: usize = 4_096;
/// Maximum number of inputs of the daemon's own tasks in one tick.
const MAX_SYSTEM_BATCH: usize = 1_024;
/// Maximum number of callers' requests in one tick.
const MAX_CALLER_BATCH: usize = 256;
/// Capacity of the queue of requests to the driver itself.
const CONTROL_QUEUE_CAPACITY: usize = 16;
/// Maximum time between two ticks, in milliseconds.
const TICK_INTERVAL_MS: u64 = 50;

/// Sending side of the driver's queues.
#[derive(Debug, Clone)]
pub(crate) struct InboxSender {
    /// For responses, peers' messages and operators' requests.
    pub(crate) system: Sender<NodeInput>,
    /// For callers' requests.
    pub(crate) callers: Sender<NodeInput>,
    /// For requests to the driver itself.
    pub(crate) control: Sender<ControlRequest>,
}

/// What the driver handles next.
#[derive(Debug)]
pub(crate) enum InboxEvent {
    /// A tick with its inputs, of which there may be none.
    Tick(Vec<NodeInput>),
    /// A request to the driver itself.
    Control(ControlRequest),
}

/// Receiving side of the driver's queues.
#[derive(Debug)]
pub(crate) struct DriverInbox {
    system: Receiver<NodeInput>,
    callers: Receiver<NodeInput>,
    control: Receiver<ControlRequest>,
    due: Instant,
}

impl DriverInbox {
    /// Creates the queues, with `caller_queue` as the capacity for callers' requests.
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
            Some(request) = self.control.recv() => return InboxEvent::Control(request),
            Some(input) = self.system.recv() => batch.push(input),
            Some(input) = self.callers.recv() => batch.push(input),
            () = sleep_until(self.due) => {}
        }
        self.drain(&mut batch);
        self.due = Instant::now() + Duration::from_millis(TICK_INTERVAL_MS);
        InboxEvent::Tick(batch)
    }

    /// Adds the inputs that have already arrived, up to the limits of one tick.
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
