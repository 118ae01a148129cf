//! Operators: they read the manifest, edit it and submit it with the version that they read.

use {
    super::{
        client::{ApiCall, CallOutcome, ChangeResponse, ManifestResponse},
        daemon::OPERATOR_KEY,
        world::ProcessWorld,
    },
    crate::{script::ManifestEdit, world::apply_edit},
    damaskrack_manifest::ManifestDocument,
    damaskrack_model::{AnswerReason, OutcomeKind},
    http::Method,
    rand::Rng,
    serde_json::json,
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::time::sleep,
};

/// Time between attempts at a change.
const RETRY_INTERVAL: Duration = Duration::from_millis(400);

impl ProcessWorld {
    /// Retries an operator's change until it is accepted.
    pub(crate) async fn run_change(self: Arc<Self>, edit: ManifestEdit, via: Option<usize>) {
        loop {
            if let Some(version) = self.try_change(&edit, via).await {
                let now_ms = self.now_ms();
                let mut state = self.lock();
                state.record.accepted.entry(version).or_insert(now_ms);
                state.accepted_changes += 1;
                return;
            }
            sleep(RETRY_INTERVAL).await;
        }
    }

    /// Attempts the change once and returns the version that contains it if it is accepted.
    async fn try_change(&self, edit: &ManifestEdit, via: Option<usize>) -> Option<u64> {
        let address = self.choose_operator_address(via)?;
        let (base, current) = self.read_manifest(address).await?;
        let mut edited = current.clone().unwrap_or_default();
        if current.is_none() && !matches!(edit, ManifestEdit::Whole) {
            return None;
        }
        apply_edit(edit, &mut edited, &self.script.document);
        if current.as_ref() == Some(&edited) {
            return Some(base);
        }
        self.lock().documents.push(edited.clone());
        let body = json!({ "base": base, "manifest": edited }).to_string();
        let call = operator_call(Method::PUT, body);
        match self.client.call::<ChangeResponse>(address, &call).await {
            CallOutcome::Answered(answer) if is_accepted(&answer) => Some(answer.version),
            _ => None,
        }
    }

    async fn read_manifest(&self, address: SocketAddr) -> Option<(u64, Option<ManifestDocument>)> {
        let call = operator_call(Method::GET, String::new());
        match self.client.call::<ManifestResponse>(address, &call).await {
            CallOutcome::Answered(answer) => Some((answer.version, answer.manifest)),
            _ => None,
        }
    }

    fn choose_operator_address(&self, via: Option<usize>) -> Option<SocketAddr> {
        let mut state = self.lock();
        let node = match via {
            Some(node) => node,
            None => {
                let count = state.nodes.len();
                state.rng.random_range(0..count)
            }
        };
        state.nodes[node].process.as_ref().map(|process| process.operator_address)
    }
}

fn operator_call(method: Method, body: String) -> ApiCall<'static> {
    ApiCall { method, path: "/v1/manifest", key: Some(OPERATOR_KEY), idempotency_key: None, body }
}

fn is_accepted(answer: &ChangeResponse) -> bool {
    let has_success_reason = matches!(
        answer.reason,
        AnswerReason::Ok | AnswerReason::Accepted | AnswerReason::Spreading
    );
    has_success_reason && answer.outcome != OutcomeKind::NotRun
}
