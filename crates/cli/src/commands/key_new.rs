//! `damaskrack key new`: makes a key.

use {
    crate::{ExitStatus, args::KeyNewArgs, context::CommandContext},
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

/// Team named in the hash helper for an operator's key, which stands for no team.
const OPERATOR_TEAM: &str = "operators";

/// A key as it is printed.
#[derive(Debug, Serialize)]
struct NewKey {
    /// What is shown to a daemon.
    key: String,
    /// What the daemon judges it by.
    entry: NewKeyEntry,
}

/// Entry for a key, in the form of the file that it goes into.
#[derive(Debug, Serialize)]
#[serde(untagged)]
enum NewKeyEntry {
    /// For `keys` in the manifest.
    Team(KeyEntry),
    /// For `operator_keys` in the daemons' settings.
    Operator { name: KeyName, salt: String, hash: String },
}

pub(crate) fn run(
    context: &mut CommandContext<'_>,
    args: &KeyNewArgs,
) -> anyhow::Result<ExitStatus> {
    let secret = hex::encode(random_bytes::<SECRET_BYTES>()?);
    let entry = new_entry(args, &secret)?;
    let new_key = NewKey { key: format!("{}.{secret}", args.name), entry };
    let entry_json = serde_json::to_string_pretty(&new_key.entry)?;
    let place = match new_key.entry {
        NewKeyEntry::Team(_) => "\"keys\" in the manifest",
        NewKeyEntry::Operator { .. } => "\"operator_keys\" in the daemons' settings",
    };
    context.print(&new_key, || {
        format!("Key (shown only now):\n{}\n\nEntry for {place}:\n{entry_json}\n", new_key.key)
    })?;
    Ok(ExitStatus::Ok)
}

fn new_entry(args: &KeyNewArgs, secret: &str) -> anyhow::Result<NewKeyEntry> {
    let salt = random_bytes::<SALT_BYTES>()?;
    let Some(team) = &args.team else {
        let KeyEntry { name, salt, hash, .. } =
            make_key(&args.name, &TeamName::new(OPERATOR_TEAM)?, secret, &salt);
        return Ok(NewKeyEntry::Operator { name, salt, hash });
    };
    let mut entry = make_key(&args.name, team, secret, &salt);
    entry.not_before_unix_ms = args.not_before_unix_ms;
    entry.not_after_unix_ms = args.not_after_unix_ms;
    Ok(NewKeyEntry::Team(entry))
}

fn random_bytes<const N: usize>() -> anyhow::Result<[u8; N]> {
    let mut bytes = [0; N];
    OsRng.try_fill_bytes(&mut bytes).context("the system gives no random numbers")?;
    Ok(bytes)
}
