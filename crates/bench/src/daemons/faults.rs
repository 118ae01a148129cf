//! Injects faults under a steady load and measures how long each team is affected.

use {
    super::{
        cell::{DaemonCell, TEAMS},
        client::CallOutcome,
        load::{FinishedCall, send},
    },
    anyhow::{Context, Result},
    damaskrack_standin::StoreFaults,
    nix::sys::signal::Signal,
    serde::Serialize,
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

/// Duration of the load before a fault.
const LOAD_BEFORE_FAULT: Duration = Duration::from_secs(3);

/// Duration of the load from the fault on.
const LOAD_AFTER_FAULT: Duration = Duration::from_secs(17);

/// Duration of a pause of the owner, a store outage or a zone outage.
const FAULT_DURATION: Duration = Duration::from_secs(7);

/// Latency beyond which a request counts as affected, in milliseconds.
const AFFECTED_LATENCY_MS: u128 = 500;

/// Effect of a fault on the requests.
#[derive(Debug, Clone, Serialize)]
pub(super) struct FaultFigures {
    pub(super) fault: &'static str,
    pub(super) sent: usize,
    pub(super) ends: BTreeMap<CallOutcome, u64>,
    /// Time from the fault to the due time of the last request that was not done within half a
    /// second, in milliseconds; the maximum over all teams.
    pub(super) recovered_ms: u128,
    /// The same of each team.
    pub(super) teams_ms: Vec<u128>,
    /// Highest latency of a request that was done, in milliseconds.
    pub(super) slowest_ms: u128,
    /// Requests done in each second, by when they ended; the fault is at second 3.
    pub(super) done_by_second: Vec<u64>,
    /// Starts in the zone later than 5 s after its removal was accepted.
    pub(super) late_zone_starts: Option<usize>,
    /// Time from the submission of the zone change until it was accepted, in milliseconds.
    pub(super) accepted_ms: Option<u128>,
}

/// Injects every fault, one after the other, each under load.
pub(super) async fn run_all(cell: &mut DaemonCell, rate: u64) -> Result<Vec<FaultFigures>> {
    let mut figures = Vec::new();
    let owner = cell.owner_of("team/team-0").context("team-0 has no owner")?;
    figures.push(kill_owner(cell, owner, rate).await?);
    sleep(Duration::from_secs(8)).await;
    let owner = cell.owner_of("team/team-0").context("team-0 has no owner")?;
    figures.push(pause_owner(cell, owner, rate).await?);
    sleep(Duration::from_secs(8)).await;
    figures.push(zone_out(cell, rate).await?);
    sleep(Duration::from_secs(5)).await;
    figures.push(store_outage(cell, rate).await);
    Ok(figures)
}

async fn kill_owner(cell: &mut DaemonCell, owner: usize, rate: u64) -> Result<FaultFigures> {
    let load = tokio::spawn(run_load(cell.client.clone(), rate));
    sleep(LOAD_BEFORE_FAULT).await;
    cell.signal(owner, Signal::SIGKILL)?;
    cell.client.set_live(owner, false);
    let calls = load.await?;
    cell.launch(owner)?;
    Ok(summarize_fault("owner killed", &calls))
}

async fn pause_owner(cell: &mut DaemonCell, owner: usize, rate: u64) -> Result<FaultFigures> {
    let load = tokio::spawn(run_load(cell.client.clone(), rate));
    sleep(LOAD_BEFORE_FAULT).await;
    cell.signal(owner, Signal::SIGSTOP)?;
    cell.client.set_live(owner, false);
    sleep(FAULT_DURATION).await;
    cell.signal(owner, Signal::SIGCONT)?;
    let calls = load.await?;
    cell.client.set_live(owner, true);
    Ok(summarize_fault("owner paused 7 s", &calls))
}

async fn zone_out(cell: &DaemonCell, rate: u64) -> Result<FaultFigures> {
    let load = tokio::spawn(run_load(cell.client.clone(), rate));
    sleep(LOAD_BEFORE_FAULT).await;
    let submitted_at = Instant::now();
    let change = cell.set_zone_out(Some("zone-b")).await;
    let accepted_ms = submitted_at.elapsed().as_millis();
    let latest_start_ms =
        cell.platform.observed_runs().iter().map(|run| run.start_ms).max().unwrap_or(0);
    sleep(FAULT_DURATION).await;
    let late_starts = cell
        .platform
        .observed_runs()
        .into_iter()
        .filter(|run| run.zone.as_str() == "zone-b" && run.start_ms > latest_start_ms + 5_000);
    let late_starts = late_starts.count();
    let change = change.and(cell.set_zone_out(None).await);
    let calls = load.await?;
    change?;
    let figures = summarize_fault("zone out 7 s", &calls);
    Ok(FaultFigures {
        late_zone_starts: Some(late_starts),
        accepted_ms: Some(accepted_ms),
        ..figures
    })
}

async fn store_outage(cell: &DaemonCell, rate: u64) -> FaultFigures {
    let load = tokio::spawn(run_load(cell.client.clone(), rate));
    sleep(LOAD_BEFORE_FAULT).await;
    cell.platform.change_store(&StoreFaults { outage: Some(true), ..StoreFaults::default() });
    sleep(FAULT_DURATION).await;
    cell.platform.change_store(&StoreFaults { outage: Some(false), ..StoreFaults::default() });
    let calls = load.await.unwrap_or_default();
    summarize_fault("store out 7 s", &calls)
}

async fn run_load(client: super::client::CellClient, rate: u64) -> Vec<FinishedCall> {
    send(&client, rate, LOAD_BEFORE_FAULT + LOAD_AFTER_FAULT).await
}

fn summarize_fault(fault: &'static str, calls: &[FinishedCall]) -> FaultFigures {
    let latency_ms = |call: &FinishedCall| call.ended.saturating_sub(call.due).as_millis();
    let is_affected = |call: &&FinishedCall| {
        call.due >= LOAD_BEFORE_FAULT.saturating_sub(Duration::from_millis(500))
            && (call.outcome != CallOutcome::Done || latency_ms(call) > AFFECTED_LATENCY_MS)
    };
    let mut ends = BTreeMap::new();
    let mut done_by_second =
        vec![0; usize::try_from((LOAD_BEFORE_FAULT + LOAD_AFTER_FAULT).as_secs()).unwrap_or(0) + 5];
    for call in calls {
        *ends.entry(call.outcome).or_insert(0) += 1;
        let second = usize::try_from(call.ended.as_secs()).unwrap_or(0);
        if call.outcome == CallOutcome::Done
            && let Some(count) = done_by_second.get_mut(second)
        {
            *count += 1;
        }
    }
    let last_affected_ms = |team: usize| {
        let affected = calls.iter().filter(|call| call.team == team).filter(is_affected);
        affected
            .map(|call| call.due.saturating_sub(LOAD_BEFORE_FAULT).as_millis())
            .max()
            .unwrap_or(0)
    };
    let teams_ms: Vec<u128> = (0..TEAMS).map(last_affected_ms).collect();
    let done_calls = calls.iter().filter(|call| call.outcome == CallOutcome::Done);
    FaultFigures {
        fault,
        sent: calls.len(),
        ends,
        recovered_ms: teams_ms.iter().copied().max().unwrap_or(0),
        teams_ms,
        slowest_ms: done_calls.map(latency_ms).max().unwrap_or(0),
        done_by_second,
        late_zone_starts: None,
        accepted_ms: None,
    }
}
