//! Demonstration of a local cell.

use {
    super::cell::LocalCell,
    crate::{
        ExitStatus,
        client::ApiClient,
        commands::{
            manifest_apply::put_manifest,
            manifest_show::fetch_in_force,
            wait::{WaitGoal, wait_for_job},
        },
        submission::{WorkSubmission, generate_idempotency_key},
    },
    anyhow::Context,
    damaskrack_manifest::{ManifestDocument, parse_manifest},
    damaskrack_model::{OutcomeKind, PriorityClass, QueueName, Resources, WorkAnswer, WorkKind},
    serde::Serialize,
    std::time::{Duration, Instant},
    tokio::time::sleep,
};

/// The manifest that is applied to a local cell.
const EXAMPLE_MANIFEST: &str = include_str!("../../../../../examples/manifest.json");

/// A team's key in the example manifest.
const CALLER_KEY: &str = "harbour-office.demo-harbour";

/// Timeout for a starting cell to accept a call.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// Time between two attempts while the cell is starting.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Tasks of the gang job.
const GANG_TASKS: u32 = 4;

/// JSON output of `local --once`.
#[derive(Debug, Serialize)]
pub(crate) struct OnceReport {
    manifest_version: u64,
    request: WorkAnswer,
    gang: WorkAnswer,
}

impl OnceReport {
    /// Returns the exit code: that of the request, or that of the gang job if the request is done.
    pub(crate) fn status(&self) -> ExitStatus {
        let job_outcome = self.gang.status.as_ref().and_then(|status| status.outcome);
        let gang_outcome = job_outcome.unwrap_or(self.gang.outcome);
        match self.request.outcome {
            OutcomeKind::Done => gang_outcome.into(),
            outcome => outcome.into(),
        }
    }
}

/// Runs one request and one gang job under the example manifest.
pub(crate) async fn run_once(cell: &LocalCell) -> anyhow::Result<OnceReport> {
    let manifest_version = apply_example_manifest(cell).await?;
    let client = cell.caller_client(CALLER_KEY);
    let request = demo_submission("clearance", WorkKind::Request, 1, "vessel Galeb")?;
    let request = submit_with_retry(&client, &request).await?;
    let gang = demo_submission("reconciliation", WorkKind::Gang, GANG_TASKS, r#"{"run_ms":200}"#)?;
    let accepted = submit_with_retry(&client, &gang).await?;
    let gang = match &accepted.job {
        Some(job) if accepted.outcome == OutcomeKind::Done => {
            wait_for_job(&client, job, WaitGoal::Ended).await?
        }
        _ => accepted,
    };
    Ok(OnceReport { manifest_version, request, gang })
}

/// Applies the example manifest, retrying while the cell is starting, and returns its version.
pub(crate) async fn apply_example_manifest(cell: &LocalCell) -> anyhow::Result<u64> {
    let manifest = parse_manifest(EXAMPLE_MANIFEST)
        .map_err(|faults| anyhow::anyhow!("the example manifest has faults: {faults:?}"))?;
    let client = cell.operator_client();
    let started_at = Instant::now();
    loop {
        match try_apply_manifest(&client, &manifest).await {
            Ok(Some(version)) => return Ok(version),
            Ok(None) if started_at.elapsed() < START_TIMEOUT => {}
            Ok(None) => anyhow::bail!("the cell takes no manifest"),
            Err(error) if started_at.elapsed() >= START_TIMEOUT => {
                return Err(error).context("the cell takes no manifest");
            }
            Err(_) => {}
        }
        sleep(RETRY_INTERVAL).await;
    }
}

/// Makes one attempt, which returns `None` if the manifest is not accepted. Fetching the manifest
/// in force first makes it safe to retry after a lost response.
async fn try_apply_manifest(
    client: &ApiClient,
    manifest: &ManifestDocument,
) -> anyhow::Result<Option<u64>> {
    let in_force = fetch_in_force(client).await?;
    if in_force.version > 0 {
        return Ok(Some(in_force.version));
    }
    let response = put_manifest(client, 0, manifest).await?;
    Ok((response.answer.outcome == OutcomeKind::Done).then_some(response.version))
}

fn demo_submission(
    queue: &str,
    kind: WorkKind,
    tasks: u32,
    payload: &str,
) -> anyhow::Result<WorkSubmission> {
    Ok(WorkSubmission {
        queue: QueueName::new(queue)?,
        kind,
        tasks,
        resources: Resources { millicores: 500, memory_bytes: 64 << 20, accelerators: 0 },
        idempotent: false,
        priority: PriorityClass::Normal,
        expected_ms: 0,
        deadline_ms: 0,
        payload: payload.to_owned(),
    })
}

/// Submits work, retrying while the cell is starting: after the outcome `not_run` a retry is safe,
/// because the work was never sent to a worker.
async fn submit_with_retry(
    client: &ApiClient,
    submission: &WorkSubmission,
) -> anyhow::Result<WorkAnswer> {
    let started_at = Instant::now();
    loop {
        let key = generate_idempotency_key();
        let answer = submission.submit(client, Some(&key)).await?;
        if answer.outcome != OutcomeKind::NotRun || started_at.elapsed() >= START_TIMEOUT {
            return Ok(answer);
        }
        sleep(RETRY_INTERVAL).await;
    }
}

/// Returns the addresses of a running cell and commands to try.
pub(crate) fn startup_message(cell: &LocalCell) -> String {
    let daemons = cell.daemon_addresses();
    let join = |addresses: Vec<String>| addresses.join(",");
    let caller_addresses = join(daemons.iter().map(|daemon| daemon.caller.to_string()).collect());
    let operator_addresses =
        join(daemons.iter().map(|daemon| daemon.operator.to_string()).collect());
    let platform = cell.platform_addresses();
    let first_caller_address =
        daemons.first().map(|daemon| daemon.caller.to_string()).unwrap_or_default();
    format!(
        "A cell of {} daemons and {} stand-in workers is running.\n\
         Switches for faults: http://{}\n\n\
         In another terminal:\n\n\
         export DAMASKRACK_ADDRESS={caller_addresses}\n\
         export DAMASKRACK_OPERATOR_ADDRESS={operator_addresses}\n\
         export DAMASKRACK_KEY={CALLER_KEY}\n\
         export DAMASKRACK_OPERATOR_KEY={}\n\
         damaskrack submit clearance --payload 'vessel Galeb'\n\
         damaskrack submit reconciliation --kind gang --tasks 4 --wait\n\
         damaskrack manifest status\n\
         curl -sS http://{first_caller_address}/v1/requests -H 'Authorization: Bearer {CALLER_KEY}' \
         -d '{{\"queue\":\"clearance\",\"payload\":\"vessel Galeb\"}}'\n\n\
         Interrupt with Ctrl-C to stop.\n",
        daemons.len(),
        platform.workers.len(),
        platform.control,
        LocalCell::operator_key(),
    )
}
