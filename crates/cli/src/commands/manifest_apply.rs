//! `damaskrack manifest apply`: submits a manifest.

use {
    crate::{
        ExitStatus,
        answer::hint_for,
        client::{ApiCall, ApiClient},
        commands::{
            manifest_check::read_valid_manifest,
            manifest_show::{fetch_in_force, format_changes, print_diff},
        },
        context::CommandContext,
        error::CliError,
    },
    damaskrack_manifest::{ManifestChange, ManifestDocument, diff_manifests},
    damaskrack_model::{AnswerReason, OutcomeKind, WorkAnswer},
    http::Method,
    serde::{Deserialize, Serialize},
    std::path::Path,
};

/// Body of the request.
#[derive(Debug, Serialize)]
struct ManifestRequest<'a> {
    base: u64,
    manifest: &'a ManifestDocument,
}

/// Response to the request.
#[derive(Debug, Deserialize)]
pub(crate) struct ManifestResponse {
    /// Version in force after the call, as the daemon knows it.
    pub(crate) version: u64,
    /// Outcome of the change.
    #[serde(flatten)]
    pub(crate) answer: WorkAnswer,
}

/// JSON output of the command.
#[derive(Debug, Serialize)]
struct ApplyReport<'a> {
    version: u64,
    outcome: OutcomeKind,
    reason: AnswerReason,
    detail: &'a str,
    changes: &'a [ManifestChange],
}

pub(crate) async fn run(
    context: &mut CommandContext<'_>,
    file: &Path,
    base: Option<u64>,
    dry_run: bool,
) -> anyhow::Result<ExitStatus> {
    let proposed = read_valid_manifest(file)?;
    let client = context.operator_client();
    let in_force = fetch_in_force(&client).await?;
    if dry_run {
        print_diff(context, &in_force, &proposed)?;
        return Ok(ExitStatus::Ok);
    }
    let answer = put_manifest(&client, base.unwrap_or(in_force.version), &proposed).await?;
    let changes = diff_manifests(&in_force.manifest, &proposed);
    print_result(context, &answer, &changes)
}

/// Submits a manifest as a change to a base version.
pub(crate) async fn put_manifest(
    client: &ApiClient,
    base: u64,
    manifest: &ManifestDocument,
) -> anyhow::Result<ManifestResponse> {
    let body = serde_json::to_string(&ManifestRequest { base, manifest })?;
    let call = ApiCall::new(Method::PUT, "/v1/manifest").with_body(body);
    Ok(client.call(&call).await?.parse()?)
}

fn print_result(
    context: &mut CommandContext<'_>,
    ManifestResponse { version, answer }: &ManifestResponse,
    changes: &[ManifestChange],
) -> anyhow::Result<ExitStatus> {
    if answer.outcome != OutcomeKind::Done {
        let problem =
            format!("{}: {} (version {version} is in force)", answer.reason, answer.detail);
        let status = ExitStatus::from(answer.outcome);
        return Err(CliError::new(status, problem, hint_for(answer.reason)).into());
    }
    let report = ApplyReport {
        version: *version,
        outcome: answer.outcome,
        reason: answer.reason,
        detail: &answer.detail,
        changes,
    };
    context.print(&report, || {
        let stage = match answer.reason {
            AnswerReason::Spreading => "written, spreading",
            _ => "accepted, in force at every member",
        };
        format!("version {version}: {stage}\n{}", format_changes(changes))
    })?;
    Ok(ExitStatus::Ok)
}
