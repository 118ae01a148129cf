//! Waiting for a job by asking again and again.
//!
//! A daemon that is being replaced leaves a question unanswered for a few seconds although the
//! job goes on, so single failures are no reason to give up.

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

/// Time between two questions.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Longest time without any status of the job.
const MAX_TIME_WITHOUT_STATUS: Duration = Duration::from_secs(30);

/// What is waited for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum WaitGoal {
    /// Every task has ended.
    Ended,
    /// Every task runs, or has ended.
    Running,
}

/// What to do after a question.
enum PollOutcome {
    /// The goal is reached, or can never be.
    Stop,
    /// The job has some way to go.
    Continue,
    /// The answer says nothing about the job.
    Retry,
}

/// Asks about a job once.
pub(crate) async fn query_job(client: &ApiClient, job: &JobId) -> anyhow::Result<WorkAnswer> {
    let path = format!("/v1/jobs/{job}");
    Ok(client.call(&ApiCall::new(Method::GET, &path)).await?.parse()?)
}

/// Asks about a job until the goal is reached, and shows progress.
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
