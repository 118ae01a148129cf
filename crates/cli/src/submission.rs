//! Submission of work to a daemon.

use {
    crate::client::{ApiCall, ApiClient},
    damaskrack_model::{PriorityClass, QueueName, Resources, WorkAnswer, WorkKind},
    http::Method,
    rand::random,
    serde::Serialize,
};

/// Body of a submission request.
#[derive(Debug, Serialize)]
pub(crate) struct WorkSubmission {
    pub(crate) queue: QueueName,
    pub(crate) kind: WorkKind,
    pub(crate) tasks: u32,
    pub(crate) resources: Resources,
    pub(crate) idempotent: bool,
    pub(crate) priority: PriorityClass,
    pub(crate) expected_ms: u64,
    pub(crate) deadline_ms: u64,
    pub(crate) payload: String,
}

impl WorkSubmission {
    /// Submits the work once, without retries after a lost response.
    pub(crate) async fn submit(
        &self,
        client: &ApiClient,
        idempotency_key: Option<&str>,
    ) -> anyhow::Result<WorkAnswer> {
        let path = if self.is_request() { "/v1/requests" } else { "/v1/jobs" };
        let mut call = ApiCall::new(Method::POST, path).with_body(serde_json::to_string(self)?);
        if let Some(key) = idempotency_key {
            call = call.with_idempotency_key(key);
        }
        Ok(client.call(&call).await?.parse()?)
    }

    /// Returns whether the response comes when the work has ended rather than when it is accepted.
    pub(crate) fn is_request(&self) -> bool {
        self.kind == WorkKind::Request
    }
}

/// Generates a random key under which work can be submitted again.
pub(crate) fn generate_idempotency_key() -> String {
    format!("cli-{:032x}", random::<u128>())
}
