//! `damaskrack explain`: shows a job's timeline from the logs of daemons.

use {
    crate::{
        ExitStatus,
        args::ExplainArgs,
        context::{CommandContext, read_file},
        error::CliError,
        job_timeline::JobTimeline,
        log_line::LogLine,
        table::TextTable,
    },
    serde::Serialize,
    std::fmt::Write,
};

/// JSON output of the command.
#[derive(Debug, Serialize)]
struct TimelineReport<'a> {
    job: &'a str,
    lines: &'a [LogLine],
    /// Longest interval without log lines, in milliseconds.
    longest_gap_ms: i64,
    /// Most likely cause of that interval.
    likely_cause: &'static str,
}

pub(crate) fn run(
    context: &mut CommandContext<'_>,
    args: &ExplainArgs,
) -> anyhow::Result<ExitStatus> {
    let mut lines = Vec::new();
    for path in &args.logs {
        lines.extend(read_file(path)?.lines().filter_map(LogLine::parse));
    }
    let timeline = JobTimeline::from_log_lines(&args.job, lines);
    if timeline.lines.is_empty() {
        let problem = format!("no line of these logs names job {}", args.job);
        let hint = "hand in the logs of all daemons, from before the job was handed in";
        return Err(CliError::new(ExitStatus::Refused, problem, hint).into());
    }
    let gap = timeline.longest_gap();
    let report = TimelineReport {
        job: &args.job,
        lines: &timeline.lines,
        longest_gap_ms: gap.map_or(0, |gap| gap.2),
        likely_cause: gap.map_or("", |(before, after, _)| JobTimeline::likely_cause(before, after)),
    };
    context.print(&report, || timeline_text(&timeline, &report))?;
    Ok(ExitStatus::Ok)
}

fn timeline_text(timeline: &JobTimeline, report: &TimelineReport<'_>) -> String {
    let mut table = TextTable::new(&["MS", "HOST", "EVENT", "ABOUT", "REASON"]);
    let start_us = timeline.lines[0].time_us();
    for line in &timeline.lines {
        table.push_row(vec![
            ((line.time_us() - start_us) / 1_000).to_string(),
            line.host.clone(),
            line.event.clone(),
            line.entity().to_owned(),
            line.reason(),
        ]);
    }
    let mut text = table.to_string();
    if let Some((before, after, ms)) = timeline.longest_gap() {
        // Writing to a string cannot fail.
        let _ = writeln!(
            text,
            "\nlongest gap: {ms} ms between {} and {}: {}",
            before.event, after.event, report.likely_cause
        );
    }
    text
}
