//! Text tables of the report.

use {
    super::{client::CallOutcome, faults::FaultFigures, load::LoadFigures, usage::UsageFigures},
    std::{collections::BTreeMap, fmt::Write},
};

/// Contents of the text report.
#[derive(Debug)]
pub(super) struct ReportView<'a> {
    pub(super) daemons: usize,
    pub(super) workers: usize,
    pub(super) ready_after_ms: u128,
    pub(super) idle: &'a UsageFigures,
    pub(super) loads: &'a [LoadFigures],
    pub(super) faults: &'a [FaultFigures],
}

fn count(ends: &BTreeMap<CallOutcome, u64>, outcome: CallOutcome) -> u64 {
    ends.get(&outcome).copied().unwrap_or(0)
}

/// Formats one load as a row of the table.
pub(super) fn load_row(row: &LoadFigures) -> String {
    format!(
        "{:>8}{:>10.0}{:>9}{:>9}{:>7}{:>7}{:>8}{:>9.1}{:>9.1}{:>9.0}  {}",
        row.offered_per_s,
        row.goodput_per_s,
        count(&row.ends, CallOutcome::Done),
        count(&row.ends, CallOutcome::NotRun),
        count(&row.ends, CallOutcome::Other),
        count(&row.ends, CallOutcome::Late),
        count(&row.ends, CallOutcome::Broken),
        row.p50_ms,
        row.p99_ms,
        row.max_ms,
        usage_cells(&row.usage)
    )
}

fn usage_cells(usage: &UsageFigures) -> String {
    let bytes = |value: Option<f64>| value.map_or("-".to_owned(), |value| format!("{value:.1}"));
    format!(
        "{:>7.3}{:>7.3}{:>7.2}{:>7.1}{:>9}{:>9}{:>9.1}{:>9.1}{:>9.1}{:>6}",
        usage.core_mean,
        usage.core_max,
        usage.bench_core,
        usage.resident_max_mb,
        bytes(usage.sent_kb_s),
        bytes(usage.received_kb_s),
        usage.store_writes_s,
        usage.store_reads_s,
        usage.store_watches_s,
        usage.store_refused
    )
}

/// Formats the tables.
pub(super) fn write(view: &ReportView<'_>) -> String {
    let mut text = format!(
        "{} daemons, {} workers; every team served {} ms after the start\n\n",
        view.daemons, view.workers, view.ready_after_ms
    );
    text.push_str("Usage: part of a core (mean of a daemon, largest daemon, callers and platform), MB, KB/s of a daemon, store calls/s of all\n");
    text.push_str(
        "   mean    max  bench     MB     sent     recv   writes    reads  watches  refused\n",
    );
    let _ = writeln!(text, "{}   idle\n", usage_cells(view.idle));
    text.push_str(" offered   goodput     done  not_run  other   late  broken      p50      p99      max     mean    max  bench     MB     sent     recv   writes    reads  watches refused\n");
    for row in view.loads {
        let _ = writeln!(text, "{}", load_row(row));
    }
    for row in view.faults {
        let _ = writeln!(
            text,
            "\n{}: last request hit {} ms after the fault (by team {:?}), slowest done {} ms\n  sent {} ends {:?}\n  done by second {:?}",
            row.fault,
            row.recovered_ms,
            row.teams_ms,
            row.slowest_ms,
            row.sent,
            row.ends,
            row.done_by_second
        );
        if let (Some(late), Some(accepted)) = (row.late_zone_starts, row.accepted_ms) {
            let _ = writeln!(
                text,
                "  accepted after {accepted} ms; starts in the zone later than 5 s after that: {late}"
            );
        }
    }
    text
}
