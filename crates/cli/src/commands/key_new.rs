//! `damaskrack key new`: makes a key.

use {
    crate::{ExitStatus, context::CommandContext},
    anyhow::Context,
    damaskrack_manifest::{KeyEntry, make_key},
    damaskrack_model::{KeyName, TeamName},
    rand::{TryRngCore, rngs::OsRng},
    serde::Serialize,
};

/// Random part of a key, in bytes; too much to be guessed.
const SECRET_BYTES: usize = 32;

/// Salt of the hash, in bytes.
const SALT_BYTES: usize = 16;

/// A key as it is printed.
#[derive(Debug, Serialize)]
struct NewKey {
    /// What the team shows.
    key: String,
    /// What goes into the manifest.
    entry: KeyEntry,
}

pub(crate) fn run(
    context: &mut CommandContext<'_>,
    name: &KeyName,
    team: &TeamName,
    validity_unix_ms: (Option<u64>, Option<u64>),
) -> anyhow::Result<ExitStatus> {
    let secret = hex::encode(random_bytes::<SECRET_BYTES>()?);
    let mut entry = make_key(name, team, &secret, &random_bytes::<SALT_BYTES>()?);
    (entry.not_before_unix_ms, entry.not_after_unix_ms) = validity_unix_ms;
    let new_key = NewKey { key: format!("{name}.{secret}"), entry };
    let entry_json = serde_json::to_string_pretty(&new_key.entry)?;
    context.print(&new_key, || {
        format!(
            "Key for the team (shown only now):\n{}\n\nEntry for \"keys\" in the manifest:\n\
             {entry_json}\n",
            new_key.key
        )
    })?;
    Ok(ExitStatus::Ok)
}

fn random_bytes<const N: usize>() -> anyhow::Result<[u8; N]> {
    let mut bytes = [0; N];
    OsRng.try_fill_bytes(&mut bytes).context("the system gives no random numbers")?;
    Ok(bytes)
}
