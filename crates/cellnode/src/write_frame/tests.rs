//! Tests of forwarded transactions.

use {
    super::{ForwardedWrite, WriteResult},
    crate::{StoreError, StoreItem, StorePut, StoreTransaction, TransactionOutcome},
    prost::Message,
    quickcheck::quickcheck,
};

quickcheck! {
    fn a_transaction_arrives_as_it_was(
        expected: Vec<(String, u64)>,
        puts: Vec<(String, Vec<u8>, u64)>,
        removals: Vec<String>
    ) -> bool {
        let put = |(key, value, lease)| StorePut { key, value, lease };
        let puts = puts.into_iter().map(put).collect();
        let transaction = StoreTransaction { expected, puts, removals };
        let frame = ForwardedWrite::encode(&transaction).expect("a frame");
        frame.decode_transaction() == Some(transaction)
    }

    fn bytes_that_are_no_transaction_are_refused_or_decoded(bytes: Vec<u8>) -> bool {
        if let Ok(frame) = ForwardedWrite::decode(bytes.as_slice()) {
            frame.decode_transaction();
        }
        ForwardedWrite { deflated: bytes }.decode_transaction();
        true
    }
}

#[test]
fn every_outcome_arrives_as_it_was() {
    let item = StoreItem { key: "k".into(), value: vec![1], revision: 7, is_deleted: false };
    let outcomes = [
        Ok(TransactionOutcome::Done(9)),
        Ok(TransactionOutcome::Conflict(vec![item])),
        Ok(TransactionOutcome::LeaseNotFound),
        Err(StoreError::Refused),
        Err(StoreError::Invalid),
        Err(StoreError::Unknown),
    ];
    for outcome in outcomes {
        let arrived = Result::from(WriteResult::from(outcome.clone()));
        assert_eq!(arrived, outcome);
    }
}
