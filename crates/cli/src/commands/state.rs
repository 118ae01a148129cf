//! `damaskrack state`: dumps the tables of a daemon.

use {
    crate::{ExitStatus, client::ApiCall, context::CommandContext, table::TextTable},
    http::Method,
    serde_json::Value,
};

pub(crate) async fn run(context: &mut CommandContext<'_>) -> anyhow::Result<ExitStatus> {
    let answer = context.operator_client().call(&ApiCall::new(Method::GET, "/v1/state")).await?;
    let state: Value = answer.parse_or_refusal()?;
    context.print(&state, || state_table(&state).to_string())?;
    Ok(ExitStatus::Ok)
}

/// Summarizes a dump with one row per table; `--output json` prints the tables' own rows.
fn state_table(state: &Value) -> TextTable {
    let mut table = TextTable::new(&["TABLE", "ROWS OR VALUE"]);
    for (part, value) in state.as_object().into_iter().flatten() {
        match value {
            Value::Object(tables) => {
                for (name, value) in tables {
                    table.push_row(vec![format!("{part}.{name}"), summarize(value)]);
                }
            }
            other => table.push_row(vec![part.clone(), summarize(other)]),
        }
    }
    table
}

fn summarize(value: &Value) -> String {
    match value {
        Value::Array(rows) => format!("{} rows", rows.len()),
        Value::Object(rows) => format!("{} rows", rows.len()),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
