//! `damaskrack manifest show`: prints the manifest in force, or what another would change.

use {
    crate::{
        ExitStatus,
        client::{ApiCall, ApiClient},
        commands::manifest_check::read_valid_manifest,
        context::CommandContext,
    },
    damaskrack_manifest::{ManifestChange, ManifestDocument, diff_manifests},
    http::Method,
    serde::{Deserialize, Serialize},
    std::path::Path,
};

/// A manifest with its version.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct ManifestInForce {
    pub(crate) version: u64,
    pub(crate) manifest: ManifestDocument,
}

/// JSON output of a comparison.
#[derive(Debug, Serialize)]
struct DiffReport<'a> {
    version: u64,
    changes: &'a [ManifestChange],
}

/// Fetches the manifest in force from a daemon.
pub(crate) async fn fetch_in_force(client: &ApiClient) -> anyhow::Result<ManifestInForce> {
    let call = ApiCall::new(Method::GET, "/v1/manifest");
    Ok(client.call(&call).await?.parse_or_refusal()?)
}

pub(crate) async fn run(
    context: &mut CommandContext<'_>,
    diff: Option<&Path>,
) -> anyhow::Result<ExitStatus> {
    let proposed = diff.map(read_valid_manifest).transpose()?;
    let in_force = fetch_in_force(&context.operator_client()).await?;
    match proposed {
        Some(proposed) => print_diff(context, &in_force, &proposed)?,
        None => {
            let json = serde_json::to_string_pretty(&in_force.manifest)?;
            context.print(&in_force, || format!("{json}\n"))?;
        }
    }
    Ok(ExitStatus::Ok)
}

/// Prints what a manifest would change.
pub(crate) fn print_diff(
    context: &mut CommandContext<'_>,
    in_force: &ManifestInForce,
    proposed: &ManifestDocument,
) -> anyhow::Result<()> {
    let changes = diff_manifests(&in_force.manifest, proposed);
    let report = DiffReport { version: in_force.version, changes: &changes };
    context.print(&report, || {
        format!("against version {}:\n{}", in_force.version, format_changes(&changes))
    })
}

/// Lists changes, one a line.
pub(crate) fn format_changes(changes: &[ManifestChange]) -> String {
    if changes.is_empty() {
        return "no changes\n".to_owned();
    }
    changes.iter().map(|change| format!("{change}\n")).collect()
}
