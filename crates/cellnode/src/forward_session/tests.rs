//! Tests of forwarding by a daemon that was paused or has no payload.

use {
    super::{ForwardSession, MAX_START_DELAY_MS},
    crate::{
        CellStore, StoreError, StoreItem, StorePage, StoreTransaction, TransactionOutcome,
        WorkerGateway, boot_ms,
        forward_frame::{ForwardCall, ForwardFrame, ForwardResult, ForwardedStart, StartCode},
        frame::{EntryBody, EntryFrame},
        payload_store::PayloadStore,
    },
    async_trait::async_trait,
    damaskrack_cell::{
        RenewOutcome, RenewRequest, StartOutcome, StartRequest, StartResponse, StopRequest,
    },
    slog::{Discard, Logger, o},
    std::sync::{Arc, Mutex},
    tokio::sync::mpsc,
};

/// Workers that record what is started.
#[derive(Default)]
struct FakeWorkers {
    started: Mutex<Vec<(String, Option<Arc<str>>)>>,
}

#[async_trait]
impl WorkerGateway for FakeWorkers {
    async fn start(&self, request: &StartRequest, _: u64) -> StartResponse {
        let run = (request.task.clone(), request.payload.clone());
        self.started.lock().expect("runs").push(run);
        StartOutcome::Started.into()
    }

    async fn stop(&self, _: &StopRequest, _: u64) -> bool {
        true
    }

    async fn renew(&self, _: &RenewRequest, _: u64) -> RenewOutcome {
        RenewOutcome::Unknown
    }
}

/// A store that has no items and refuses everything else.
struct EmptyStore;

#[async_trait]
impl CellStore for EmptyStore {
    async fn range(&self, _: &str, _: &str, _: u64) -> Result<StorePage, StoreError> {
        Ok(StorePage::default())
    }

    async fn get(&self, _: &str) -> Result<Option<StoreItem>, StoreError> {
        Ok(None)
    }

    async fn watch(&self, _: &str, _: u64, _: u64) -> Result<StorePage, StoreError> {
        Err(StoreError::Refused)
    }

    async fn commit_transaction(
        &self,
        _: &StoreTransaction,
    ) -> Result<TransactionOutcome, StoreError> {
        Err(StoreError::Refused)
    }

    async fn grant_lease(&self, _: u64) -> Result<u64, StoreError> {
        Err(StoreError::Refused)
    }

    async fn renew_lease(&self, _: u64) -> Result<bool, StoreError> {
        Err(StoreError::Refused)
    }

    async fn revoke_lease(&self, _: u64) -> Result<(), StoreError> {
        Err(StoreError::Refused)
    }
}

/// A session with fake workers, and the frames that it sends to the leader.
fn session() -> (Arc<FakeWorkers>, Arc<ForwardSession>, mpsc::Receiver<EntryFrame>) {
    let (sender, receiver) = mpsc::channel(16);
    let (workers, store) = (Arc::new(FakeWorkers::default()), Arc::new(EmptyStore));
    let payloads = PayloadStore::new(store.clone(), Logger::root(Discard, o!()));
    let session = ForwardSession::new((workers.clone(), store), payloads, sender);
    (workers, session, receiver)
}

fn start(task: &str, sent_ms: u64, payload: Option<&str>) -> ForwardFrame {
    let start = ForwardedStart {
        task: task.to_owned(),
        payload: payload.map(str::to_owned),
        ..ForwardedStart::default()
    };
    ForwardFrame { sent_ms, call: Some(ForwardCall::Start(start)), ..ForwardFrame::default() }
}

async fn start_code(receiver: &mut mpsc::Receiver<EntryFrame>) -> StartCode {
    let frame = receiver.recv().await.expect("a response");
    match frame.body {
        Some(EntryBody::Forwarded(forwarded)) => match forwarded.result {
            Some(ForwardResult::Started(result)) => result.code(),
            other => panic!("{other:?} is no response to a start"),
        },
        other => panic!("{other:?} is no response"),
    }
}

/// The daemon stood still, or its connection was slow, while the frame waited.
#[tokio::test]
async fn a_start_that_waited_too_long_is_not_sent() {
    let (workers, session, mut receiver) = session();
    let now_ms = boot_ms();
    session.record_frame(now_ms);
    session.forward(start("1.0.0.0", now_ms - MAX_START_DELAY_MS - 50, Some("payload")));
    assert_eq!(start_code(&mut receiver).await, StartCode::Unsent);
    assert!(workers.started.lock().expect("runs").is_empty());
    session.forward(start("1.0.0.1", boot_ms(), None));
    assert_eq!(start_code(&mut receiver).await, StartCode::Started);
}

#[tokio::test]
async fn a_payload_is_sent_once_a_job() {
    let (workers, session, mut receiver) = session();
    session.forward(start("1.0.0.0", boot_ms(), Some("payload")));
    session.forward(start("1.0.0.1", boot_ms(), None));
    for _ in 0..2 {
        assert_eq!(start_code(&mut receiver).await, StartCode::Started);
    }
    let started = workers.started.lock().expect("runs");
    assert!(started.iter().all(|(_, payload)| payload.as_deref() == Some("payload")));
}

#[tokio::test]
async fn a_task_without_its_payload_is_not_started() {
    let (workers, session, mut receiver) = session();
    let mut frame = start("1.0.0.0", boot_ms(), None);
    if let Some(ForwardCall::Start(start)) = &mut frame.call {
        start.is_payload_stored = true;
    }
    session.forward(frame);
    assert_eq!(start_code(&mut receiver).await, StartCode::Unsent);
    assert!(workers.started.lock().expect("runs").is_empty());
}
