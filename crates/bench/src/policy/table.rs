//! Text tables of the report.

use {
    super::{measure::PolicyFigures, mix::WorkMix},
    std::fmt::Write,
};

/// Formats the tables of a mix.
pub(super) fn write(mix: &WorkMix, policies: &[PolicyFigures]) -> String {
    let mut text = format!(
        "{} workers, {} work items in {} s; zone-2 out from {} s to {} s\n\n",
        mix.workers(),
        mix.arrivals.len(),
        mix.run_ms / 1_000,
        mix.zone_out_ms.0 / 1_000,
        mix.zone_out_ms.1 / 1_000
    );
    write_waits(&mut text, policies);
    write_cell(&mut text, policies);
    write_shares(&mut text, policies);
    write_control(&mut text, policies);
    text
}

fn write_waits(text: &mut String, policies: &[PolicyFigures]) {
    text.push_str("Waiting time until the first start, milliseconds\n");
    let heading = ["policy", "work", "tasks", "never", "p50", "p99", "max"];
    let _ = writeln!(
        text,
        "{:<26}{:<15}{:>7}{:>7}{:>9}{:>9}{:>9}",
        heading[0], heading[1], heading[2], heading[3], heading[4], heading[5], heading[6]
    );
    for figures in policies {
        let full = std::iter::once(("check, full", &figures.urgent_full));
        let named = figures.waits.iter().map(|row| (category_name(row.category), row));
        for (name, row) in full.chain(named) {
            let _ = writeln!(
                text,
                "{:<26}{:<15}{:>7}{:>7}{:>9}{:>9}{:>9}",
                figures.policy,
                name,
                row.tasks,
                row.never_started,
                row.p50_ms,
                row.p99_ms,
                row.max_ms
            );
        }
    }
}

fn category_name(category: super::mix::WorkCategory) -> &'static str {
    use super::mix::WorkCategory;
    match category {
        WorkCategory::Check => "check",
        WorkCategory::Service => "service",
        WorkCategory::Gang => "gang",
        WorkCategory::Batch => "batch",
        WorkCategory::Small => "small",
    }
}

fn write_cell(text: &mut String, policies: &[PolicyFigures]) {
    text.push_str("\nParts of the cell while it was full, percent\n");
    text.push_str(
        "policy                    cores  memory  str.cores  str.mem  zone-work  lost-work  cut-runs  late>4s  done-tasks  done-core-s\n",
    );
    for row in policies {
        let _ = writeln!(
            text,
            "{:<24}{:>7.1}{:>8.1}{:>11.1}{:>9.1}{:>11.1}{:>11.2}{:>10}{:>9}{:>12}{:>13.0}",
            row.policy,
            row.cores_used * 100.0,
            row.memory_used * 100.0,
            row.stranded_cores * 100.0,
            row.stranded_memory * 100.0,
            row.zone_work * 100.0,
            row.lost_work * 100.0,
            row.runs_cut,
            row.urgent_late,
            row.done_tasks,
            row.done_core_s
        );
    }
}

fn write_shares(text: &mut String, policies: &[PolicyFigures]) {
    text.push_str(
        "\nDistance from the entitlement over full minutes, percent of the cell: mean / worst / worst below @ start of that minute / worst below in minutes without a change of the zone\n",
    );
    for row in policies {
        let _ = write!(text, "{:<26}", row.policy);
        for share in &row.shares {
            let _ = write!(
                text,
                " {} {:.1}/{:.1}/{:.1}@{}s/{:.1}",
                share.team,
                share.mean_error * 100.0,
                share.worst_error * 100.0,
                share.worst_below * 100.0,
                share.worst_below_at_s,
                share.steady_below * 100.0
            );
        }
        text.push('\n');
    }
}

fn write_control(text: &mut String, policies: &[PolicyFigures]) {
    text.push_str("\nControl cost of real nodes\n");
    for row in policies {
        let Some(control) = &row.control else { continue };
        let _ = writeln!(
            text,
            "{:<26} starts {} messages {} for callers {} store calls {} broken rules {} real time {:.0} s",
            row.policy,
            control.starts,
            control.messages,
            control.caller_messages,
            control.store_calls,
            control.violations,
            control.wall_s
        );
    }
}
