//! Behaviour of a simulated task, parsed from its payload.

use {
    damaskrack_model::{Resources, TaskResult},
    serde::{Deserialize, Serialize},
};

/// Run time of a task whose payload specifies none, in milliseconds.
const DEFAULT_RUN_MS: u64 = 1;

/// A simulated task: its run time, output and resource usage.
///
/// A payload that is not a JSON object of this form is echoed as the output, so that a test can
/// send any text and check the output.
///
/// # Examples
///
/// ```
/// use damaskrack_standin::TaskScript;
///
/// let script = TaskScript::parse(r#"{"run_ms":100,"output":"done"}"#);
/// assert_eq!((script.run_ms, script.output.as_str()), (Some(100), "done"));
/// assert_eq!(TaskScript::parse("hello").output, "echo:hello");
/// assert_eq!(TaskScript::parse(r#"{"run_ms":null}"#).run_ms, None);
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TaskScript {
    /// Run time, in milliseconds; `None` for a task that runs until it is stopped.
    pub run_ms: Option<u64>,
    /// Output of the task.
    pub output: String,
    /// Whether the task fails.
    pub is_failing: bool,
    /// Resource usage; `None` for the resources that the task was started with.
    pub usage: Option<Resources>,
}

#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct ScriptDocument {
    #[serde(default = "default_run_ms")]
    run_ms: Option<u64>,
    output: Option<String>,
    #[serde(default)]
    fail: bool,
    #[serde(rename = "use")]
    usage: Option<Resources>,
}

#[allow(clippy::unnecessary_wraps)] // serde requires the field's type.
fn default_run_ms() -> Option<u64> {
    Some(DEFAULT_RUN_MS)
}

impl TaskScript {
    /// Parses a payload.
    #[must_use]
    pub fn parse(payload: &str) -> Self {
        let echo = || format!("echo:{payload}");
        match serde_json::from_str::<ScriptDocument>(payload) {
            Ok(document) => Self {
                run_ms: document.run_ms,
                output: document.output.unwrap_or_else(echo),
                is_failing: document.fail,
                usage: document.usage,
            },
            Err(_) => {
                Self { run_ms: default_run_ms(), output: echo(), is_failing: false, usage: None }
            }
        }
    }

    /// Returns the result of the task if it is not stopped.
    #[must_use]
    pub fn result(&self) -> TaskResult {
        if self.is_failing { TaskResult::Failed } else { TaskResult::Succeeded }
    }
}
