//! Simulated operators, which read the manifest, edit it and submit it with the version they read.
//!
//! Two operators that start at the same time read the same version, so one of them gets a conflict,
//! reads the manifest again and applies its edit on top of the other's.

use {
    super::{CallWaiter, SimWorld, WorldEvent},
    crate::script::ManifestEdit,
    damaskrack_manifest::{ManifestDocument, ZoneState, make_key},
    damaskrack_model::{AnswerReason, OutcomeKind, WorkAnswer},
    damaskrack_node::{NodeInput, OperatorRequest},
};

/// Delay before an operator retries, in milliseconds.
const RETRY_INTERVAL_MS: u64 = 400;

/// Timeout of an operator's call, in milliseconds.
const RESPONSE_TIMEOUT_MS: u64 = 8_000;

/// Salt of keys that are granted during a run; it is fixed because scenario keys protect nothing.
const GRANT_SALT: &[u8; 16] = b"granted-salt--16";

/// Progress of an operator's change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ChangeStage {
    Reading,
    Writing,
    Accepted,
}

/// Operator's change of the manifest and its progress.
#[derive(Debug)]
pub(crate) struct ManifestChange {
    edit: ManifestEdit,
    via: Option<usize>,
    stage: ChangeStage,
    /// Id of the latest call.
    call: u64,
    /// Version of the manifest that was edited.
    base: u64,
    /// Edited manifest.
    document: ManifestDocument,
}

impl ManifestChange {
    pub(crate) fn new(edit: ManifestEdit, via: Option<usize>) -> Self {
        Self {
            edit,
            via,
            stage: ChangeStage::Reading,
            call: 0,
            base: 0,
            document: ManifestDocument::default(),
        }
    }

    pub(crate) fn is_accepted(&self) -> bool {
        self.stage == ChangeStage::Accepted
    }
}

/// Applies an edit to a manifest; `whole` is the script's manifest.
pub(crate) fn apply_edit(
    edit: &ManifestEdit,
    document: &mut ManifestDocument,
    whole: &ManifestDocument,
) {
    match edit {
        ManifestEdit::Whole => document.clone_from(whole),
        ManifestEdit::Zone { zone, is_in } => {
            let state = if *is_in { ZoneState::In } else { ZoneState::Out };
            let entries = document.zones.iter_mut().filter(|entry| entry.name == *zone);
            entries.for_each(|entry| entry.state = state);
        }
        ManifestEdit::Withdraw { key } => document.keys.retain(|entry| entry.name != *key),
        ManifestEdit::Grant { key, team } => {
            document.keys.retain(|entry| entry.name != *key);
            document.keys.push(make_key(key, team, &format!("secret-of-{key}"), GRANT_SALT));
        }
        ManifestEdit::Limit { team, tasks, millicores } => {
            for entry in document.teams.iter_mut().filter(|entry| entry.name == *team) {
                entry.limit.tasks = tasks.unwrap_or(entry.limit.tasks);
                let resources = &mut entry.limit.resources;
                resources.millicores = millicores.unwrap_or(resources.millicores);
            }
        }
        ManifestEdit::Share { team, share } => {
            let entries = document.teams.iter_mut().filter(|entry| entry.name == *team);
            entries.for_each(|entry| entry.share = *share);
        }
    }
}

impl SimWorld {
    /// Starts or repeats a change, by writing the script's manifest directly or by reading the
    /// current manifest in order to edit it.
    pub(crate) fn on_change_try(&mut self, change: usize) {
        let via = self.changes[change].via;
        let chosen = match via {
            Some(node) => self.nodes[node].is_alive().then_some(node),
            None => self.choose_operator_node(),
        };
        let Some(node) = chosen else {
            self.queue.push(self.now_ms + RETRY_INTERVAL_MS, WorldEvent::ChangeTry { change });
            return;
        };
        let entry = &mut self.changes[change];
        let is_first =
            matches!(entry.edit, ManifestEdit::Whole) && entry.stage == ChangeStage::Reading;
        entry.stage = if is_first { ChangeStage::Writing } else { ChangeStage::Reading };
        if is_first {
            entry.document.clone_from(&self.script.document);
            self.send_manifest(node, change);
        } else {
            self.send_operator_request(node, change, OperatorRequest::ManifestGet);
        }
    }

    fn choose_operator_node(&mut self) -> Option<usize> {
        let alive: Vec<usize> =
            (0..self.nodes.len()).filter(|&node| self.nodes[node].is_alive()).collect();
        let index = self.random_below(alive.len() as u64);
        alive.get(usize::try_from(index).unwrap_or(0)).copied()
    }

    fn send_operator_request(&mut self, node: usize, change: usize, request: OperatorRequest) {
        let call = self.allocate_call();
        self.changes[change].call = call;
        self.nodes[node].waiters.insert(call, CallWaiter::Change { change });
        self.trace.line(self.now_ms, || {
            let text: String = format!("{request:?}").chars().take(60).collect();
            format!("operator#{call} change {change} {text} -> node-{}", node + 1)
        });
        let at_ms = self.now_ms + RESPONSE_TIMEOUT_MS;
        self.queue.push(at_ms, WorldEvent::ChangeTimeout { change, call });
        self.push_input(node, NodeInput::Operator { call, request });
    }

    fn send_manifest(&mut self, node: usize, change: usize) {
        let entry = &self.changes[change];
        let json = serde_json::to_string(&entry.document).unwrap_or_default();
        let base = entry.base;
        self.documents.push(entry.document.clone());
        self.send_operator_request(node, change, OperatorRequest::ManifestPut { base, json });
    }

    /// Abandons a call that got no response in time and repeats the change.
    pub(crate) fn on_change_timeout(&mut self, change: usize, call: u64) {
        let is_open = self.changes[change].call == call && !self.changes[change].is_accepted();
        if !is_open {
            return;
        }
        for process in &mut self.nodes {
            if process.waiters.remove(&call).is_some() {
                self.record.abandoned.insert(call);
                self.queue.push(self.now_ms, WorldEvent::ChangeTry { change });
            }
        }
    }

    pub(crate) fn on_operator_answer(
        &mut self,
        node: usize,
        call: u64,
        version: u64,
        answer: &WorkAnswer,
    ) {
        self.trace.line(self.now_ms, || {
            let detail: String = answer.detail.chars().take(100).collect();
            format!(
                "node-{} answers operator#{call} v{version} {:?} {} {detail}",
                node + 1,
                answer.outcome,
                answer.reason
            )
        });
        let Some(CallWaiter::Change { change }) = self.nodes[node].waiters.remove(&call) else {
            self.record.record_stray(call);
            return;
        };
        match self.changes[change].stage {
            ChangeStage::Reading => self.on_manifest_read(node, change, version, answer),
            ChangeStage::Writing => self.on_manifest_written(change, version, answer),
            ChangeStage::Accepted => {}
        }
    }

    fn on_manifest_read(&mut self, node: usize, change: usize, version: u64, answer: &WorkAnswer) {
        let Ok(document) = serde_json::from_str::<ManifestDocument>(&answer.detail) else {
            let is_empty = version == 0 && matches!(self.changes[change].edit, ManifestEdit::Whole);
            if is_empty {
                self.changes[change].stage = ChangeStage::Reading;
            }
            self.queue.push(self.now_ms + RETRY_INTERVAL_MS, WorldEvent::ChangeTry { change });
            return;
        };
        let entry = &mut self.changes[change];
        let mut edited = document.clone();
        apply_edit(&entry.edit, &mut edited, &self.script.document);
        if edited == document {
            entry.stage = ChangeStage::Accepted;
            self.record_accepted(version);
            return;
        }
        entry.document = edited;
        entry.base = version;
        entry.stage = ChangeStage::Writing;
        self.send_manifest(node, change);
    }

    fn on_manifest_written(&mut self, change: usize, version: u64, answer: &WorkAnswer) {
        let is_accepted = matches!(
            answer.reason,
            AnswerReason::Ok | AnswerReason::Accepted | AnswerReason::Spreading
        ) && answer.outcome != OutcomeKind::NotRun;
        if is_accepted {
            self.changes[change].stage = ChangeStage::Accepted;
            self.record_accepted(version);
        } else {
            let entry = &mut self.changes[change];
            let is_read_next = !matches!(entry.edit, ManifestEdit::Whole)
                || matches!(answer.reason, AnswerReason::Conflict | AnswerReason::Lost);
            entry.stage = if is_read_next { ChangeStage::Writing } else { ChangeStage::Reading };
            self.queue.push(self.now_ms + RETRY_INTERVAL_MS, WorldEvent::ChangeTry { change });
        }
    }

    fn record_accepted(&mut self, version: u64) {
        let now_ms = self.now_ms;
        self.record.accepted.entry(version).or_insert(now_ms);
    }
}
