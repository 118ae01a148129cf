//! Callers: they submit work, record the answers and retry.

use {
    super::{
        client::{ApiCall, CallOutcome},
        world::{BrokenCall, ProcessWorld},
    },
    crate::{
        observe::{SeenAnswer, SeenTry, make_token},
        world::is_passing,
    },
    damaskrack_model::{AnswerReason, JobId, JobState, WorkAnswer},
    damaskrack_node::CallerRequest,
    http::Method,
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::time::sleep,
};

/// Time between a caller's submissions of the same work.
const RETRY_INTERVAL: Duration = Duration::from_millis(300);

/// Time after which the load balancer offers another daemon.
const RECONNECT_INTERVAL: Duration = Duration::from_millis(100);

/// Time between queries of a job's status.
const JOB_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Next step of a caller after a submission.
#[derive(Debug, PartialEq, Eq)]
enum NextStep {
    /// Connect again; nothing was sent.
    Reconnect,
    /// Submit the work again.
    Retry,
    /// Query the job until it ends.
    Follow(JobId),
    /// Stop.
    Stop,
}

/// HTTP parameters of one submission.
#[derive(Debug)]
struct TryPlan {
    path: &'static str,
    key: Option<String>,
    idempotency_key: Option<String>,
    body: String,
    attempt: usize,
}

impl ProcessWorld {
    /// Submits one caller's work and follows it to its end.
    pub(crate) async fn run_work(self: Arc<Self>, work: usize) {
        loop {
            let via = self.lock().book.works[work].plan.via.clone();
            let Some((node, address)) = self.choose_entry(via.as_ref()) else {
                sleep(RECONNECT_INTERVAL).await;
                continue;
            };
            match self.try_work(work, node, address).await {
                NextStep::Reconnect => sleep(RECONNECT_INTERVAL).await,
                NextStep::Retry => sleep(RETRY_INTERVAL).await,
                NextStep::Follow(job) => return self.follow_job(work, &job).await,
                NextStep::Stop => return,
            }
        }
    }

    async fn try_work(&self, work: usize, node: usize, address: SocketAddr) -> NextStep {
        let Some(plan) = self.begin_try(work, node) else { return NextStep::Stop };
        let call = ApiCall {
            method: Method::POST,
            path: plan.path,
            key: plan.key.as_deref(),
            idempotency_key: plan.idempotency_key.as_deref(),
            body: plan.body,
        };
        let outcome = self.client.call::<WorkAnswer>(address, &call).await;
        let at_ms = self.now_ms();
        let mut state = self.lock();
        if matches!(outcome, CallOutcome::Broken) {
            state.broken_calls.push(BrokenCall { node, at_ms });
        }
        let submitted = &mut state.book.works[work];
        let answer = match outcome {
            CallOutcome::Unreachable => {
                submitted.seen.tries.truncate(plan.attempt);
                return NextStep::Reconnect;
            }
            CallOutcome::Broken => {
                submitted.seen.tries[plan.attempt].is_broken = true;
                None
            }
            CallOutcome::Answered(answer) => Some(answer),
        };
        if let Some(answer) = &answer {
            let seen = seen_answer(at_ms, answer);
            let is_accepted = submitted.plan.is_job && seen.is_acknowledgement();
            submitted.seen.tries[plan.attempt].answers.push(seen);
            if let Some(job) = answer.job.clone()
                && is_accepted
            {
                submitted.job = Some(job.clone());
                return NextStep::Follow(job);
            }
        }
        if !submitted.may_repeat(answer.as_ref()) || submitted.retries_left == 0 {
            return NextStep::Stop;
        }
        submitted.retries_left -= 1;
        NextStep::Retry
    }

    fn begin_try(&self, work: usize, node: usize) -> Option<TryPlan> {
        let at_ms = self.now_ms();
        let key = self.presented_key(work);
        let mut state = self.lock();
        let submitted = &mut state.book.works[work];
        let attempt = submitted.seen.tries.len();
        let token = make_token(work, attempt);
        let CallerRequest::Submit { queue, idempotency_key, spec, .. } =
            submitted.request(work, None, &token)
        else {
            return None;
        };
        submitted.seen.tries.push(SeenTry {
            token,
            at_ms,
            node,
            answers: Vec::new(),
            is_broken: false,
        });
        let mut body = serde_json::to_value(spec).ok()?;
        body["queue"] = queue.as_str().into();
        let path = if submitted.plan.is_job { "/v1/jobs" } else { "/v1/requests" };
        Some(TryPlan { path, key, idempotency_key, body: body.to_string(), attempt })
    }

    fn presented_key(&self, work: usize) -> Option<String> {
        let key = self.lock().book.works[work].plan.key.clone()?;
        let secret = self.script.secrets.get(&key).cloned().unwrap_or_default();
        Some(format!("{key}.{secret}"))
    }

    async fn ask_job(&self, work: usize, method: Method, job: &JobId) -> Option<WorkAnswer> {
        let (_, address) = self.choose_entry(None)?;
        let key = self.presented_key(work);
        let path = format!("/v1/jobs/{job}");
        let (key, body) = (key.as_deref(), String::new());
        let call = ApiCall { method, path: &path, key, idempotency_key: None, body };
        match self.client.call(address, &call).await {
            CallOutcome::Answered(answer) => Some(answer),
            CallOutcome::Unreachable | CallOutcome::Broken => None,
        }
    }

    async fn follow_job(&self, work: usize, job: &JobId) {
        loop {
            sleep(JOB_POLL_INTERVAL).await;
            let Some(answer) = self.ask_job(work, Method::GET, job).await else { continue };
            let at_ms = self.now_ms();
            let mut state = self.lock();
            let seen = &mut state.book.works[work].seen;
            if let Some(status) = &answer.status {
                seen.is_parked = status.state == JobState::Parked;
                if status.state == JobState::Ended {
                    seen.ended = Some((at_ms, status.outcome));
                    return;
                }
            }
            if answer.reason == AnswerReason::UnknownJob {
                seen.forgotten_ms.get_or_insert(at_ms);
            }
        }
    }

    /// Cancels every job with a tag.
    pub(crate) fn begin_cancel(self: &Arc<Self>, tag: &str) {
        for (work, submitted) in self.lock().book.works.iter_mut().enumerate() {
            if submitted.plan.tag.as_deref() == Some(tag)
                && submitted.plan.is_job
                && !submitted.is_cancelling
            {
                submitted.is_cancelling = true;
                tokio::spawn(Arc::clone(self).cancel_job(work));
            }
        }
    }

    async fn cancel_job(self: Arc<Self>, work: usize) {
        loop {
            let job = self.lock().book.works[work].job.clone();
            if let Some(job) = job
                && let Some(answer) = self.ask_job(work, Method::DELETE, &job).await
                && !is_passing(answer.reason)
            {
                self.lock().book.works[work].seen.cancelled_ms = Some(self.now_ms());
                return;
            }
            sleep(RETRY_INTERVAL).await;
        }
    }
}

/// Returns the body of a request for a small task that returns `token`.
pub(crate) fn request_body(queue: &str, token: &str, run_ms: u64) -> String {
    let payload = serde_json::json!({ "run_ms": run_ms, "output": token }).to_string();
    let resources = serde_json::json!({ "millicores": 100, "memory_bytes": 1 << 20 });
    serde_json::json!({ "queue": queue, "resources": resources, "payload": payload }).to_string()
}

fn seen_answer(at_ms: u64, answer: &WorkAnswer) -> SeenAnswer {
    SeenAnswer {
        at_ms,
        outcome: answer.outcome,
        reason: answer.reason,
        detail: answer.detail.clone(),
        job: answer.job.clone(),
    }
}
