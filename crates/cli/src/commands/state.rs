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

/// Sums a dump up, one row a table; the rows themselves need `--output json`.
fn state_table(state: &Value) -> TextTable {
    let mut table = TextTable::new(&["TABLE", "ROWS OR VALUE"]);
    for (part, value) in state.as_object().into_iter().flatten() {
        match value {
            Value::Object(tables) => {
                for (name, value) in tables {
                    table.push_row(vec![format!("{part}.{name}"), summary(value)]);
                }
            }
            other => table.push_row(vec![part.clone(), summary(other)]),
        }
    }
    table
}

fn summary(value: &Value) -> String {
    match value {
        Value::Array(rows) => format!("{} rows", rows.len()),
        Value::Object(rows) => format!("{} rows", rows.len()),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
