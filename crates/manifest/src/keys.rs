//! Whether a shown key is good, and for whom.
//!
//! Every refusal looks alike and costs one hash, also for a name that does not exist, so neither
//! the answer nor its timing tells a caller which names are real.

use {
    crate::{
        KeyEntry,
        secret::{SECRET_HASH_BYTES, hash_secret},
    },
    damaskrack_model::{KeyName, TeamName},
    std::{collections::HashMap, fmt},
    subtle::ConstantTimeEq,
};

/// What a shown key is worth.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyCheckOutcome {
    /// The key is known, its secret is right and its time has come and not passed.
    Valid {
        /// Public part of the key.
        key: KeyName,
        /// Team that the key stands for.
        team: TeamName,
    },
    /// Anything else.
    Refused,
}

/// A key in the form in which it is compared.
struct KeyRow {
    team: TeamName,
    salt: Vec<u8>,
    hash: [u8; SECRET_HASH_BYTES],
    valid_from_unix_ms: u64,
    valid_until_unix_ms: u64,
}

impl KeyRow {
    /// Decodes an entry; `None` if its salt or hash is malformed, and then no secret fits it.
    fn new(entry: &KeyEntry) -> Option<Self> {
        let mut hash = [0; SECRET_HASH_BYTES];
        hex::decode_to_slice(&entry.hash, &mut hash).ok()?;
        Some(Self {
            team: entry.team.clone(),
            salt: hex::decode(&entry.salt).ok()?,
            hash,
            valid_from_unix_ms: entry.not_before_unix_ms.unwrap_or(0),
            valid_until_unix_ms: entry.not_after_unix_ms.unwrap_or(u64::MAX),
        })
    }

    fn is_current(&self, now_unix_ms: u64) -> bool {
        (self.valid_from_unix_ms..self.valid_until_unix_ms).contains(&now_unix_ms)
    }
}

/// The keys of one manifest, found by name.
///
/// # Examples
///
/// ```
/// use damaskrack_manifest::{KeyIndex, KeyCheckOutcome, make_key};
/// use damaskrack_model::{KeyName, TeamName};
///
/// let (key, team) = (KeyName::new("office")?, TeamName::new("harbour")?);
/// let index = KeyIndex::new(&[make_key(&key, &team, "s3cret", &[7; 16])]);
/// assert!(matches!(index.check_key("office.s3cret", 0), KeyCheckOutcome::Valid { .. }));
/// assert_eq!(index.check_key("office.guess", 0), KeyCheckOutcome::Refused);
/// assert!(index.is_key_valid(&key, &team, 0));
/// # Ok::<(), damaskrack_model::NameError>(())
/// ```
#[derive(Default)]
pub struct KeyIndex {
    rows: HashMap<KeyName, KeyRow>,
}

impl KeyIndex {
    /// Builds the index.
    #[must_use]
    pub fn new(entries: &[KeyEntry]) -> Self {
        let rows = entries
            .iter()
            .filter_map(|entry| Some((entry.name.clone(), KeyRow::new(entry)?)))
            .collect();
        Self { rows }
    }

    /// Judges a shown key, `NAME.SECRET`.
    #[must_use]
    pub fn check_key(&self, shown: &str, now_unix_ms: u64) -> KeyCheckOutcome {
        let (name, secret) = split_key(shown);
        let row = name.as_ref().and_then(|name| self.rows.get(name));
        judge_secret(name.as_ref(), row, secret, now_unix_ms)
    }

    /// Tells whether a key that was judged elsewhere is still good for `team`.
    #[must_use]
    pub fn is_key_valid(&self, key: &KeyName, team: &TeamName, now_unix_ms: u64) -> bool {
        self.rows.get(key).is_some_and(|row| row.team == *team && row.is_current(now_unix_ms))
    }
}

impl fmt::Debug for KeyIndex {
    /// Shows the number of keys only; hashes do not belong into logs and dumps.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("KeyIndex").field("keys", &self.rows.len()).finish()
    }
}

/// Judges a shown key, `NAME.SECRET`, against a list of entries.
///
/// Use a [`KeyIndex`] where keys are judged often.
///
/// # Examples
///
/// ```
/// use damaskrack_manifest::{KeyCheckOutcome, check_key};
///
/// assert_eq!(check_key(&[], "office.s3cret", 0), KeyCheckOutcome::Refused);
/// ```
#[must_use]
pub fn check_key(entries: &[KeyEntry], shown: &str, now_unix_ms: u64) -> KeyCheckOutcome {
    let (name, secret) = split_key(shown);
    let row = name.as_ref().and_then(|name| find_row(entries, name));
    judge_secret(name.as_ref(), row.as_ref(), secret, now_unix_ms)
}

/// Tells whether a key that was judged elsewhere is still good for `team`.
///
/// # Examples
///
/// ```
/// use damaskrack_manifest::{is_key_valid, make_key};
/// use damaskrack_model::{KeyName, TeamName};
///
/// let (key, team) = (KeyName::new("office")?, TeamName::new("harbour")?);
/// let entries = [make_key(&key, &team, "s3cret", &[7; 16])];
/// assert!(is_key_valid(&entries, &key, &team, 0));
/// assert!(!is_key_valid(&entries, &key, &TeamName::new("estate")?, 0));
/// # Ok::<(), damaskrack_model::NameError>(())
/// ```
#[must_use]
pub fn is_key_valid(
    entries: &[KeyEntry],
    key: &KeyName,
    team: &TeamName,
    now_unix_ms: u64,
) -> bool {
    find_row(entries, key).is_some_and(|row| row.team == *team && row.is_current(now_unix_ms))
}

fn find_row(entries: &[KeyEntry], name: &KeyName) -> Option<KeyRow> {
    entries.iter().find(|entry| entry.name == *name).and_then(KeyRow::new)
}

/// Splits at the last dot, because a name may contain dots and a secret may not.
fn split_key(shown: &str) -> (Option<KeyName>, &str) {
    match shown.rsplit_once('.') {
        Some((name, secret)) => (KeyName::new(name).ok(), secret),
        None => (None, shown),
    }
}

fn judge_secret(
    name: Option<&KeyName>,
    row: Option<&KeyRow>,
    secret: &str,
    now_unix_ms: u64,
) -> KeyCheckOutcome {
    const NO_SALT: [u8; 16] = [0; 16];
    let salt = row.map_or(&NO_SALT[..], |row| &row.salt);
    let expected = row.map_or([0; SECRET_HASH_BYTES], |row| row.hash);
    let is_equal = bool::from(hash_secret(salt, secret).ct_eq(&expected));
    match (name, row) {
        (Some(name), Some(row)) if is_equal && row.is_current(now_unix_ms) => {
            KeyCheckOutcome::Valid { key: name.clone(), team: row.team.clone() }
        }
        _ => KeyCheckOutcome::Refused,
    }
}
