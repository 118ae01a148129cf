//! Salted hashes of key secrets.
//!
//! Secrets are random and too long to guess, so one round of SHA-256 is enough; a slow password
//! hash would only add cost to every request.

use {
    crate::KeyEntry,
    damaskrack_model::{KeyName, TeamName},
    sha2::{Digest, Sha256},
};

/// Length of a secret's hash, in bytes.
pub(crate) const SECRET_HASH_BYTES: usize = 32;

/// Minimum length of a salt, in bytes.
pub(crate) const MIN_SALT_BYTES: usize = 16;

/// Maximum length of a salt, in bytes.
pub(crate) const MAX_SALT_BYTES: usize = 64;

/// Returns the hash of a secret.
pub(crate) fn hash_secret(salt: &[u8], secret: &str) -> [u8; SECRET_HASH_BYTES] {
    Sha256::new().chain_update(salt).chain_update(secret.as_bytes()).finalize().into()
}

/// Creates the manifest entry for a key.
///
/// The caller gives `NAME.SECRET` to the team and does not store the secret. The last dot separates
/// the two, so a secret that contains a dot never matches.
///
/// # Examples
///
/// ```
/// use damaskrack_manifest::{KeyCheckOutcome, check_key, make_key};
/// use damaskrack_model::{KeyName, TeamName};
///
/// let (key, team) = (KeyName::new("office")?, TeamName::new("harbour")?);
/// let entry = make_key(&key, &team, "s3cret", &[7; 16]);
/// assert_eq!(check_key(&[entry], "office.s3cret", 0), KeyCheckOutcome::Valid { key, team });
/// # Ok::<(), damaskrack_model::NameError>(())
/// ```
#[must_use]
pub fn make_key(name: &KeyName, team: &TeamName, secret: &str, salt: &[u8]) -> KeyEntry {
    KeyEntry {
        name: name.clone(),
        team: team.clone(),
        salt: hex::encode(salt),
        hash: hex::encode(hash_secret(salt, secret)),
        not_before_unix_ms: None,
        not_after_unix_ms: None,
    }
}
