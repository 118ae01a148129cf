//! `damaskrack manifest check`: checks a file without a daemon.

use {
    crate::{
        ExitStatus,
        context::{CommandContext, read_file},
        error::CliError,
        table::TextTable,
    },
    damaskrack_manifest::{ManifestDocument, ManifestError, check_manifest, parse_manifest},
    serde::Serialize,
    std::{fmt::Write, path::Path},
};

/// JSON output of the command.
#[derive(Debug, Serialize)]
struct CheckReport {
    valid: bool,
    faults: Vec<FaultReport>,
}

/// A fault in the JSON output.
#[derive(Debug, Serialize)]
struct FaultReport {
    path: String,
    problem: String,
}

pub(crate) fn run(context: &mut CommandContext<'_>, file: &Path) -> anyhow::Result<ExitStatus> {
    let faults = match parse_valid_manifest(&read_file(file)?) {
        Ok(document) => return print_valid(context, &document),
        Err(faults) => faults,
    };
    let reports = faults
        .iter()
        .map(|fault| FaultReport { path: fault.path.clone(), problem: fault.problem.clone() });
    let report = CheckReport { valid: false, faults: reports.collect() };
    context.print(&report, || format_faults(&faults))?;
    Ok(ExitStatus::Refused)
}

fn print_valid(
    context: &mut CommandContext<'_>,
    document: &ManifestDocument,
) -> anyhow::Result<ExitStatus> {
    let report = CheckReport { valid: true, faults: Vec::new() };
    context.print(&report, || format!("valid\n{}", count_table(document)))?;
    Ok(ExitStatus::Ok)
}

/// Returns a table with the number of entries in each section of a manifest.
pub(crate) fn count_table(document: &ManifestDocument) -> TextTable {
    TextTable::from_pairs(&[
        ("teams", document.teams.len().to_string()),
        ("keys", document.keys.len().to_string()),
        ("zones", document.zones.len().to_string()),
        ("queues", document.queues.len().to_string()),
    ])
}

fn parse_valid_manifest(json: &str) -> Result<ManifestDocument, Vec<ManifestError>> {
    let document = parse_manifest(json)?;
    let faults = check_manifest(&document);
    if faults.is_empty() { Ok(document) } else { Err(faults) }
}

/// Reads a manifest file; an invalid manifest is an error.
pub(crate) fn read_valid_manifest(file: &Path) -> anyhow::Result<ManifestDocument> {
    parse_valid_manifest(&read_file(file)?).map_err(|faults| {
        let problem = format!("{} is not valid:\n{}", file.display(), format_faults(&faults));
        let hint = "correct these faults; `damaskrack manifest check` lists them too";
        CliError::new(ExitStatus::Refused, problem, hint).into()
    })
}

fn format_faults(faults: &[ManifestError]) -> String {
    faults.iter().fold(String::new(), |mut lines, fault| {
        // Writing to a string cannot fail.
        let _ = writeln!(lines, "{fault}");
        lines
    })
}
