//! Waiting for a job by polling.
//!
//! While a daemon is being replaced, polls fail for a few seconds although the job goes on, so
//! single failures do not end the wait.

use {
    crate::{
        client::{ApiCall, ApiClient},
        progress::WaitProgress,
    },
    anyhow::Context,
    damaskrack_model::{AnswerReason, JobId, JobState, JobStatus, WorkAnswer},
    http::Method,
    std::time::{Duration, Instant},
};

/// Time between two polls.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Longest time without a status of the job before the wait ends.
const MAX_TIME_WITHOUT_STATUS: Duration = Duration::from_secs(30);

/// State of the job that ends the wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum WaitGoal {
    /// Every task has ended.
    Ended,
    /// Every task runs, or has ended.
    Running,
}

/// What to do after a poll.
enum PollOutcome {
    /// The goal is reached or cannot be reached.
    Stop,
    /// The job has not reached the goal yet.
    Continue,
    /// The poll failed, or the response has no status of the job.
    Retry,
}

/// Queries a job once.
pub(crate) async fn query_job(client: &ApiClient, job: &JobId) -> anyhow::Result<WorkAnswer> {
    let path = format!("/v1/jobs/{job}");
    Ok(client.call(&ApiCall::new(Method::GET, &path)).await?.parse()?)
}

/// Polls a job until the goal is reached, and shows progress.
pub(crate) async fn wait_for_job(
    client: &ApiClient,
    job: &JobId,
    goal: WaitGoal,
) -> anyhow::Result<WorkAnswer> {
    let progress = WaitProgress::spinner("waiting for the job");
    let mut last_status_at = Instant::now();
    loop {
        let result = query_job(client, job).await;
        let outcome = match &result {
            Ok(answer) => classify_poll(answer, goal),
            Err(_) => PollOutcome::Retry,
        };
        if let Some(status) = result.as_ref().ok().and_then(|answer| answer.status.as_ref()) {
            progress.show_job(status);
        }
        match outcome {
            PollOutcome::Stop => return result,
            PollOutcome::Continue => last_status_at = Instant::now(),
            PollOutcome::Retry if last_status_at.elapsed() < MAX_TIME_WITHOUT_STATUS => {}
            PollOutcome::Retry => {
                return result.context(format!("gave up waiting; job {job} may go on"));
            }
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn classify_poll(answer: &WorkAnswer, goal: WaitGoal) -> PollOutcome {
    match (&answer.status, answer.reason) {
        (Some(status), _) if is_goal_reached(status, goal) => PollOutcome::Stop,
        (Some(_), _) => PollOutcome::Continue,
        (None, AnswerReason::KeyRefused | AnswerReason::UnknownJob | AnswerReason::Invalid) => {
            PollOutcome::Stop
        }
        (None, _) => PollOutcome::Retry,
    }
}

fn is_goal_reached(status: &JobStatus, goal: WaitGoal) -> bool {
    match (status.state, goal) {
        (JobState::Ended, _) => true,
        (JobState::Running, WaitGoal::Running) => status.queued == 0,
        _ => false,
    }
}
