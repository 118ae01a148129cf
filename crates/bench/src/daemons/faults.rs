//! Faults under a steady load, and how long each team feels them.

use {
    super::{
        cell::{DaemonCell, TEAMS},
        client::CallEnd,
        load::{EndedCall, send},
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

/// Load before a fault.
const BEFORE: Duration = Duration::from_secs(3);

/// Load from the fault on.
const AFTER: Duration = Duration::from_secs(17);

/// Length of a pause, an outage or a zone's absence.
const LENGTH: Duration = Duration::from_secs(7);

/// Latency beyond which a request counts as hit, in milliseconds.
const HIT_MS: u128 = 500;

/// What a fault amounted to.
#[derive(Debug, Clone, Serialize)]
pub(super) struct FaultFigures {
    pub(super) fault: &'static str,
    pub(super) sent: usize,
    pub(super) ends: BTreeMap<CallEnd, u64>,
    /// From the fault until the last request was due that was not done within half a second; the
    /// worst team, in milliseconds.
    pub(super) recovered_ms: u128,
    /// The same of each team.
    pub(super) teams_ms: Vec<u128>,
    /// Longest latency of a request that was done, in milliseconds.
    pub(super) slowest_ms: u128,
    /// Requests done in each second, by when they ended; the fault is at second 3.
    pub(super) done_by_second: Vec<u64>,
    /// Starts in the zone later than 5 s after its absence was accepted.
    pub(super) late_zone_starts: Option<usize>,
    /// From the handing in of the zone's change until it was accepted, in milliseconds.
    pub(super) accepted_ms: Option<u128>,
}

/// Injects every fault, one after the other, each under load.
pub(super) async fn run_all(cell: &mut DaemonCell, rate: u64) -> Result<Vec<FaultFigures>> {
    let mut figures = Vec::new();
    let victim = cell.owner_of("team/team-0").context("team-0 has no owner")?;
    figures.push(kill_owner(cell, victim, rate).await?);
    sleep(Duration::from_secs(8)).await;
    let victim = cell.owner_of("team/team-0").context("team-0 has no owner")?;
    figures.push(pause_owner(cell, victim, rate).await?);
    sleep(Duration::from_secs(8)).await;
    figures.push(zone_out(cell, rate).await?);
    sleep(Duration::from_secs(5)).await;
    figures.push(store_outage(cell, rate).await);
    Ok(figures)
}

async fn kill_owner(cell: &mut DaemonCell, victim: usize, rate: u64) -> Result<FaultFigures> {
    let load = tokio::spawn(under_load(cell.client.clone(), rate));
    sleep(BEFORE).await;
    cell.signal(victim, Signal::SIGKILL)?;
    cell.client.set_live(victim, false);
    let calls = load.await?;
    cell.launch(victim)?;
    Ok(judge("owner killed", &calls))
}

async fn pause_owner(cell: &mut DaemonCell, victim: usize, rate: u64) -> Result<FaultFigures> {
    let load = tokio::spawn(under_load(cell.client.clone(), rate));
    sleep(BEFORE).await;
    cell.signal(victim, Signal::SIGSTOP)?;
    cell.client.set_live(victim, false);
    sleep(LENGTH).await;
    cell.signal(victim, Signal::SIGCONT)?;
    let calls = load.await?;
    cell.client.set_live(victim, true);
    Ok(judge("owner paused 7 s", &calls))
}

async fn zone_out(cell: &DaemonCell, rate: u64) -> Result<FaultFigures> {
    let load = tokio::spawn(under_load(cell.client.clone(), rate));
    sleep(BEFORE).await;
    let asked = Instant::now();
    let change = cell.set_zone_out(Some("zone-b")).await;
    let accepted_ms = asked.elapsed().as_millis();
    let seen = cell.platform.observed_runs().iter().map(|run| run.start_ms).max().unwrap_or(0);
    sleep(LENGTH).await;
    let late = cell
        .platform
        .observed_runs()
        .into_iter()
        .filter(|run| run.zone.as_str() == "zone-b" && run.start_ms > seen + 5_000);
    let late = late.count();
    let change = change.and(cell.set_zone_out(None).await);
    let calls = load.await?;
    change?;
    let figures = judge("zone out 7 s", &calls);
    Ok(FaultFigures { late_zone_starts: Some(late), accepted_ms: Some(accepted_ms), ..figures })
}

async fn store_outage(cell: &DaemonCell, rate: u64) -> FaultFigures {
    let load = tokio::spawn(under_load(cell.client.clone(), rate));
    sleep(BEFORE).await;
    cell.platform.change_store(&StoreFaults { outage: Some(true), ..StoreFaults::default() });
    sleep(LENGTH).await;
    cell.platform.change_store(&StoreFaults { outage: Some(false), ..StoreFaults::default() });
    let calls = load.await.unwrap_or_default();
    judge("store out 7 s", &calls)
}

async fn under_load(client: super::client::CellClient, rate: u64) -> Vec<EndedCall> {
    send(&client, rate, BEFORE + AFTER).await
}

fn judge(fault: &'static str, calls: &[EndedCall]) -> FaultFigures {
    let latency_ms = |call: &EndedCall| call.ended.saturating_sub(call.due).as_millis();
    let is_hit = |call: &&EndedCall| {
        call.due >= BEFORE.saturating_sub(Duration::from_millis(500))
            && (call.end != CallEnd::Done || latency_ms(call) > HIT_MS)
    };
    let mut ends = BTreeMap::new();
    let mut done_by_second = vec![0; usize::try_from((BEFORE + AFTER).as_secs()).unwrap_or(0) + 5];
    for call in calls {
        *ends.entry(call.end).or_insert(0) += 1;
        let second = usize::try_from(call.ended.as_secs()).unwrap_or(0);
        if call.end == CallEnd::Done
            && let Some(count) = done_by_second.get_mut(second)
        {
            *count += 1;
        }
    }
    let last_hit = |team: usize| {
        let hits = calls.iter().filter(|call| call.team == team).filter(is_hit);
        hits.map(|call| call.due.saturating_sub(BEFORE).as_millis()).max().unwrap_or(0)
    };
    let teams_ms: Vec<u128> = (0..TEAMS).map(last_hit).collect();
    let done = calls.iter().filter(|call| call.end == CallEnd::Done);
    FaultFigures {
        fault,
        sent: calls.len(),
        ends,
        recovered_ms: teams_ms.iter().copied().max().unwrap_or(0),
        teams_ms,
        slowest_ms: done.map(latency_ms).max().unwrap_or(0),
        done_by_second,
        late_zone_starts: None,
        accepted_ms: None,
    }
}
