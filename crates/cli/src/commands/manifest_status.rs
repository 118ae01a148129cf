//! `damaskrack manifest status`: shows the manifest version of each daemon.

use {
    crate::{
        ExitStatus,
        client::{ApiCall, ApiClient},
        commands::manifest_show::ManifestInForce,
        context::CommandContext,
        table::TextTable,
    },
    http::Method,
    serde::Serialize,
    std::net::SocketAddr,
};

/// Manifest version and readiness of one daemon.
#[derive(Debug, Serialize)]
struct DaemonStatus {
    address: SocketAddr,
    /// Version that the daemon reports; absent if it reports none.
    version: Option<u64>,
    ready: bool,
    problem: Option<String>,
}

pub(crate) async fn run(context: &mut CommandContext<'_>) -> anyhow::Result<ExitStatus> {
    let client = context.operator_client();
    let mut statuses = Vec::new();
    for &address in client.addresses() {
        statuses.push(query_daemon(&client, address).await);
    }
    context.print(&statuses, || daemon_table(&statuses).to_string())?;
    let is_any_reachable = statuses.iter().any(|status| status.version.is_some());
    Ok(if is_any_reachable { ExitStatus::Ok } else { ExitStatus::Unreachable })
}

async fn query_daemon(client: &ApiClient, address: SocketAddr) -> DaemonStatus {
    let ready = client.call_at(address, &ApiCall::new(Method::GET, "/readyz")).await;
    let is_ready = ready.is_ok_and(|answer| answer.status.is_success());
    match query_version(client, address).await {
        Ok(version) => {
            DaemonStatus { address, version: Some(version), ready: is_ready, problem: None }
        }
        Err(error) => DaemonStatus {
            address,
            version: None,
            ready: is_ready,
            problem: Some(error.to_string()),
        },
    }
}

async fn query_version(client: &ApiClient, address: SocketAddr) -> anyhow::Result<u64> {
    let call = ApiCall::new(Method::GET, "/v1/manifest");
    let answer = client.call_at(address, &call).await?;
    Ok(answer.parse_or_refusal::<ManifestInForce>()?.version)
}

fn daemon_table(statuses: &[DaemonStatus]) -> TextTable {
    let mut table = TextTable::new(&["DAEMON", "VERSION", "READY", "PROBLEM"]);
    for status in statuses {
        table.push_row(vec![
            status.address.to_string(),
            status.version.map_or("-".to_owned(), |version| version.to_string()),
            if status.ready { "yes" } else { "no" }.to_owned(),
            status.problem.clone().unwrap_or_default(),
        ]);
    }
    table
}
