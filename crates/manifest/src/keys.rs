//! Authentication of presented keys.
//!
//! Every refusal is the same and costs one hash, even for a name that does not exist, so neither
//! the response nor its timing tells a caller which names exist.

use {
    crate::{
        KeyEntry,
        secret::{SECRET_HASH_BYTES, hash_secret},
    },
    damaskrack_model::{KeyName, TeamName},
    std::{collections::HashMap, fmt},
    subtle::ConstantTimeEq,
};

/// Outcome of checking a presented key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyCheckOutcome {
    /// The key is known, its secret matches and the current time is in its validity period.
    Valid {
        /// Public part of the key.
        key: KeyName,
        /// Team that the key belongs to.
        team: TeamName,
    },
    /// The key is malformed, unknown, outside its validity period, or its secret is wrong.
    Refused,
}

/// A key entry decoded for comparison.
struct DecodedKey {
    team: TeamName,
    salt: Vec<u8>,
    hash: [u8; SECRET_HASH_BYTES],
    valid_from_unix_ms: u64,
    valid_until_unix_ms: u64,
}

impl DecodedKey {
    /// Decodes an entry; `None` if its salt or hash is malformed, so that no secret matches it.
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

/// The keys of one manifest, indexed by name.
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
    keys: HashMap<KeyName, DecodedKey>,
}

impl KeyIndex {
    /// Builds the index; entries with a malformed salt or hash are left out.
    #[must_use]
    pub fn new(entries: &[KeyEntry]) -> Self {
        let keys = entries
            .iter()
            .filter_map(|entry| Some((entry.name.clone(), DecodedKey::new(entry)?)))
            .collect();
        Self { keys }
    }

    /// Checks a presented key, `NAME.SECRET`.
    #[must_use]
    pub fn check_key(&self, presented: &str, now_unix_ms: u64) -> KeyCheckOutcome {
        let (name, secret) = split_key(presented);
        let decoded = name.as_ref().and_then(|name| self.keys.get(name));
        verify_secret(name.as_ref(), decoded, secret, now_unix_ms)
    }

    /// Returns whether a key whose secret was checked elsewhere is still valid for `team`.
    #[must_use]
    pub fn is_key_valid(&self, key: &KeyName, team: &TeamName, now_unix_ms: u64) -> bool {
        self.keys
            .get(key)
            .is_some_and(|decoded| decoded.team == *team && decoded.is_current(now_unix_ms))
    }
}

impl fmt::Debug for KeyIndex {
    /// Prints only the number of keys, to keep hashes out of logs and dumps.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("KeyIndex").field("keys", &self.keys.len()).finish()
    }
}

/// Checks a presented key, `NAME.SECRET`, against a list of entries.
///
/// Use a [`KeyIndex`] where keys are checked often.
///
/// # Examples
///
/// ```
/// use damaskrack_manifest::{KeyCheckOutcome, check_key};
///
/// assert_eq!(check_key(&[], "office.s3cret", 0), KeyCheckOutcome::Refused);
/// ```
#[must_use]
pub fn check_key(entries: &[KeyEntry], presented: &str, now_unix_ms: u64) -> KeyCheckOutcome {
    let (name, secret) = split_key(presented);
    let decoded = name.as_ref().and_then(|name| find_key(entries, name));
    verify_secret(name.as_ref(), decoded.as_ref(), secret, now_unix_ms)
}

/// Returns whether a key whose secret was checked elsewhere is still valid for `team`.
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
    find_key(entries, key)
        .is_some_and(|decoded| decoded.team == *team && decoded.is_current(now_unix_ms))
}

fn find_key(entries: &[KeyEntry], name: &KeyName) -> Option<DecodedKey> {
    entries.iter().find(|entry| entry.name == *name).and_then(DecodedKey::new)
}

/// Splits at the last dot, because a name may contain dots but a secret may not.
fn split_key(presented: &str) -> (Option<KeyName>, &str) {
    match presented.rsplit_once('.') {
        Some((name, secret)) => (KeyName::new(name).ok(), secret),
        None => (None, presented),
    }
}

/// Compares the secret's hash in constant time; an unknown key costs the same hash.
fn verify_secret(
    name: Option<&KeyName>,
    decoded: Option<&DecodedKey>,
    secret: &str,
    now_unix_ms: u64,
) -> KeyCheckOutcome {
    const NO_SALT: [u8; 16] = [0; 16];
    let salt = decoded.map_or(&NO_SALT[..], |decoded| &decoded.salt);
    let expected = decoded.map_or([0; SECRET_HASH_BYTES], |decoded| decoded.hash);
    let is_equal = bool::from(hash_secret(salt, secret).ct_eq(&expected));
    match (name, decoded) {
        (Some(name), Some(decoded)) if is_equal && decoded.is_current(now_unix_ms) => {
            KeyCheckOutcome::Valid { key: name.clone(), team: decoded.team.clone() }
        }
        _ => KeyCheckOutcome::Refused,
    }
}
