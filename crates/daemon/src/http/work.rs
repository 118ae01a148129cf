//! The JSON body of a request that submits work.

use {
    damaskrack_model::{PriorityClass, QueueName, Resources, WorkKind, WorkSpec},
    serde::Deserialize,
};

/// The body as a caller sends it.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct WorkBody {
    queue: QueueName,
    #[serde(default)]
    kind: Option<WorkKind>,
    #[serde(default)]
    tasks: Option<u32>,
    #[serde(default)]
    resources: Resources,
    #[serde(default)]
    idempotent: bool,
    #[serde(default)]
    priority: PriorityClass,
    #[serde(default)]
    expected_ms: u64,
    #[serde(default)]
    deadline_ms: u64,
    #[serde(default)]
    payload: String,
}

/// Why a well-formed body is not valid work.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct WorkBodyError(pub(crate) String);

impl WorkBody {
    /// Converts to the single task of a request whose caller waits.
    pub(crate) fn into_request(self) -> Result<(QueueName, WorkSpec), WorkBodyError> {
        if !matches!(self.kind, None | Some(WorkKind::Request)) {
            return Err(WorkBodyError("`kind` must be \"request\" here, or absent".to_owned()));
        }
        if !matches!(self.tasks, None | Some(1)) {
            return Err(WorkBodyError("`tasks` must be 1 here, or absent".to_owned()));
        }
        Ok(self.into_spec(WorkKind::Request, 1))
    }

    /// Converts to a job of at most `max_tasks` tasks.
    pub(crate) fn into_job(self, max_tasks: u32) -> Result<(QueueName, WorkSpec), WorkBodyError> {
        let kind = self.kind.unwrap_or_default();
        if kind == WorkKind::Request {
            let detail = "`kind` must be \"service\", \"batch\" or \"gang\" here";
            return Err(WorkBodyError(detail.to_owned()));
        }
        let tasks = self.tasks.unwrap_or(1);
        if !(1..=max_tasks).contains(&tasks) {
            return Err(WorkBodyError(format!("`tasks` must be 1 to {max_tasks}, not {tasks}")));
        }
        if self.resources.checked_mul(u64::from(tasks)).is_none() {
            let detail = "`resources` times `tasks` is more than can be counted";
            return Err(WorkBodyError(detail.to_owned()));
        }
        Ok(self.into_spec(kind, tasks))
    }

    fn into_spec(self, kind: WorkKind, tasks: u32) -> (QueueName, WorkSpec) {
        let spec = WorkSpec {
            kind,
            tasks,
            resources: self.resources,
            idempotent: self.idempotent,
            priority: self.priority,
            expected_ms: self.expected_ms,
            deadline_ms: self.deadline_ms,
            payload: self.payload,
        };
        (self.queue, spec)
    }
}
