//! `damaskrack key new`: generates a key.

use {
    crate::{ExitStatus, args::KeyNewArgs, context::CommandContext},
    anyhow::Context,
    damaskrack_manifest::{KeyEntry, make_key},
    damaskrack_model::{KeyName, TeamName},
    rand::{TryRngCore, rngs::OsRng},
    serde::Serialize,
};

/// Length of a key's random secret in bytes, too long to guess.
const SECRET_BYTES: usize = 32;

/// Length of the salt of a key's hash, in bytes.
const SALT_BYTES: usize = 16;

/// Team passed to `make_key` for an operator's key, which belongs to no team.
const OPERATOR_TEAM: &str = "operators";

/// JSON output of the command.
#[derive(Debug, Serialize)]
struct NewKey {
    /// Key that callers present to a daemon, `NAME.SECRET`.
    key: String,
    /// Entry that a daemon checks the key against.
    entry: NewKeyEntry,
}

/// Entry for a key, in the format of the file that it belongs in.
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
    let destination = match new_key.entry {
        NewKeyEntry::Team(_) => "\"keys\" in the manifest",
        NewKeyEntry::Operator { .. } => "\"operator_keys\" in the daemons' settings",
    };
    context.print(&new_key, || {
        format!(
            "Key (shown only now):\n{}\n\nEntry for {destination}:\n{entry_json}\n",
            new_key.key
        )
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
