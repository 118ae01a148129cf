//! Transactions that a daemon commits for the leader.
//!
//! The store takes JSON with values in base64, which is about twice the size of the rows. A daemon
//! receives the rows themselves, compressed: the rows of a transaction have much in common.

use {
    crate::{StoreError, StoreItem, StorePut, StoreTransaction, TransactionOutcome},
    flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder},
    prost::Message,
    std::io::{Read, Write},
};

/// Maximum size of a transaction, in bytes.
const MAX_TRANSACTION_BYTES: u64 = 4 << 20;

/// A transaction.
#[derive(Clone, PartialEq, prost::Message)]
struct TransactionContents {
    #[prost(message, repeated, tag = "1")]
    expected: Vec<KeyRevision>,
    #[prost(message, repeated, tag = "2")]
    puts: Vec<PutContents>,
    #[prost(string, repeated, tag = "3")]
    removals: Vec<String>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct KeyRevision {
    #[prost(string, tag = "1")]
    key: String,
    #[prost(uint64, tag = "2")]
    revision: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
struct PutContents {
    #[prost(string, tag = "1")]
    key: String,
    #[prost(bytes = "vec", tag = "2")]
    value: Vec<u8>,
    #[prost(uint64, tag = "3")]
    lease: u64,
}

/// Commits a transaction.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct ForwardedWrite {
    /// The transaction, compressed.
    #[prost(bytes = "vec", tag = "1")]
    deflated: Vec<u8>,
}

impl ForwardedWrite {
    /// Encodes a transaction; `None` if it cannot be compressed.
    pub(crate) fn encode(transaction: &StoreTransaction) -> Option<Self> {
        let key_revision =
            |(key, revision): &(String, u64)| KeyRevision { key: key.clone(), revision: *revision };
        let put = |put: &StorePut| PutContents {
            key: put.key.clone(),
            value: put.value.clone(),
            lease: put.lease,
        };
        let contents = TransactionContents {
            expected: transaction.expected.iter().map(key_revision).collect(),
            puts: transaction.puts.iter().map(put).collect(),
            removals: transaction.removals.clone(),
        };
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
        encoder.write_all(&contents.encode_to_vec()).ok()?;
        Some(Self { deflated: encoder.finish().ok()? })
    }

    /// Decodes the transaction; `None` if it is malformed.
    pub(crate) fn decode_transaction(&self) -> Option<StoreTransaction> {
        let mut bytes = Vec::new();
        let decoder = DeflateDecoder::new(self.deflated.as_slice());
        decoder.take(MAX_TRANSACTION_BYTES).read_to_end(&mut bytes).ok()?;
        let contents = TransactionContents::decode(bytes.as_slice()).ok()?;
        let expected = contents.expected.into_iter().map(|item| (item.key, item.revision));
        let put = |put: PutContents| StorePut { key: put.key, value: put.value, lease: put.lease };
        Some(StoreTransaction {
            expected: expected.collect(),
            puts: contents.puts.into_iter().map(put).collect(),
            removals: contents.removals,
        })
    }
}

/// Outcome of a transaction.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct WriteResult {
    #[prost(enumeration = "WriteCode", tag = "1")]
    code: i32,
    /// Revision of the transaction, if it took effect.
    #[prost(uint64, tag = "2")]
    revision: u64,
    /// Current items of the expected keys, if their revisions did not match.
    #[prost(message, repeated, tag = "3")]
    items: Vec<ItemContents>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct ItemContents {
    #[prost(string, tag = "1")]
    key: String,
    #[prost(bytes = "vec", tag = "2")]
    value: Vec<u8>,
    #[prost(uint64, tag = "3")]
    revision: u64,
}

/// Outcome of a transaction as a number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
enum WriteCode {
    Unknown = 0,
    Done = 1,
    Conflict = 2,
    LeaseNotFound = 3,
    Refused = 4,
    Invalid = 5,
}

impl From<Result<TransactionOutcome, StoreError>> for WriteResult {
    fn from(outcome: Result<TransactionOutcome, StoreError>) -> Self {
        let result = |code| Self { code: code as i32, ..Self::default() };
        match outcome {
            Ok(TransactionOutcome::Done(revision)) => Self { revision, ..result(WriteCode::Done) },
            Ok(TransactionOutcome::Conflict(items)) => {
                let item = |item: StoreItem| ItemContents {
                    key: item.key,
                    value: item.value,
                    revision: item.revision,
                };
                Self { items: items.into_iter().map(item).collect(), ..result(WriteCode::Conflict) }
            }
            Ok(TransactionOutcome::LeaseNotFound) => result(WriteCode::LeaseNotFound),
            Err(StoreError::Refused) => result(WriteCode::Refused),
            Err(StoreError::Invalid) => result(WriteCode::Invalid),
            Err(StoreError::Unknown | StoreError::Compacted | StoreError::TooLarge) => {
                result(WriteCode::Unknown)
            }
        }
    }
}

impl From<WriteResult> for Result<TransactionOutcome, StoreError> {
    fn from(result: WriteResult) -> Self {
        match result.code() {
            WriteCode::Done => Ok(TransactionOutcome::Done(result.revision)),
            WriteCode::Conflict => {
                let item = |item: ItemContents| StoreItem {
                    key: item.key,
                    value: item.value,
                    revision: item.revision,
                    is_deleted: false,
                };
                Ok(TransactionOutcome::Conflict(result.items.into_iter().map(item).collect()))
            }
            WriteCode::LeaseNotFound => Ok(TransactionOutcome::LeaseNotFound),
            WriteCode::Refused => Err(StoreError::Refused),
            WriteCode::Invalid => Err(StoreError::Invalid),
            WriteCode::Unknown => Err(StoreError::Unknown),
        }
    }
}

#[cfg(test)]
mod tests;
