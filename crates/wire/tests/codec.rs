//! Every frame round-trips through the codec, and no input makes the decoder panic.

#![allow(clippy::unwrap_used, clippy::needless_pass_by_value)]

mod samples;

use {
    bytes::BytesMut,
    damaskrack_wire::{HelloFrame, PeerCodec, PeerFrame, WireError},
    quickcheck::{Gen, QuickCheck},
    samples::{MESSAGE_KINDS, SampleFrame, sample_message},
    tokio_util::codec::{Decoder, Encoder},
};

fn encode(frame: PeerFrame) -> BytesMut {
    let mut buffer = BytesMut::new();
    PeerCodec::new().encode(frame, &mut buffer).unwrap();
    buffer
}

#[test]
fn frames_round_trip() {
    fn check(sample: SampleFrame) -> bool {
        let mut buffer = encode(sample.0.clone());
        let decoded = PeerCodec::new().decode(&mut buffer).unwrap();
        decoded == Some(sample.0) && buffer.is_empty()
    }
    QuickCheck::new().tests(1_000).quickcheck(check as fn(SampleFrame) -> bool);
}

#[test]
fn every_kind_of_message_round_trips() {
    let mut g = Gen::new(8);
    for kind in 0..MESSAGE_KINDS {
        for _ in 0..50 {
            let frame = PeerFrame::Message(sample_message(kind, &mut g));
            let mut buffer = encode(frame.clone());
            assert_eq!(PeerCodec::new().decode(&mut buffer).unwrap(), Some(frame));
        }
    }
}

#[test]
fn a_frame_cut_anywhere_waits_for_its_rest() {
    let mut g = Gen::new(8);
    let frame = PeerFrame::Message(sample_message(3, &mut g));
    let bytes = encode(frame.clone());
    for cut in 0..bytes.len() {
        let mut codec = PeerCodec::new();
        let mut buffer = BytesMut::from(&bytes[..cut]);
        assert_eq!(codec.decode(&mut buffer).unwrap(), None);
        buffer.extend_from_slice(&bytes[cut..]);
        assert_eq!(codec.decode(&mut buffer).unwrap(), Some(frame.clone()));
    }
}

#[test]
fn random_bytes_never_panic() {
    fn check(bytes: Vec<u8>) -> bool {
        let mut framed = BytesMut::new();
        framed.extend_from_slice(&u32::try_from(bytes.len()).unwrap().to_be_bytes());
        framed.extend_from_slice(&bytes);
        let _ = PeerCodec::new().decode(&mut framed);
        let _ = PeerCodec::new().decode(&mut BytesMut::from(&bytes[..]));
        true
    }
    QuickCheck::new().tests(20_000).quickcheck(check as fn(Vec<u8>) -> bool);
}

#[test]
fn a_changed_byte_never_panics() {
    fn check(sample: SampleFrame, index: usize, value: u8) -> bool {
        let mut buffer = encode(sample.0);
        let index = index % buffer.len();
        buffer[index] = value;
        let _ = PeerCodec::new().decode(&mut buffer);
        true
    }
    QuickCheck::new().tests(20_000).quickcheck(check as fn(SampleFrame, usize, u8) -> bool);
}

#[test]
fn a_frame_over_the_limit_is_refused_both_ways() {
    let hello = PeerFrame::Hello(HelloFrame::dialler("entry-1".parse().unwrap(), 7));
    let mut small = PeerCodec::with_limit(4);
    let mut buffer = BytesMut::new();
    assert!(matches!(small.encode(hello.clone(), &mut buffer), Err(WireError::TooLong { .. })));
    assert!(buffer.is_empty());
    assert!(matches!(small.decode(&mut encode(hello)), Err(WireError::Io(_))));
}

#[test]
fn a_frame_without_kind_is_a_typed_error() {
    let mut empty = BytesMut::from(&[0, 0, 0, 0][..]);
    assert!(matches!(PeerCodec::new().decode(&mut empty), Err(WireError::Missing("kind"))));
}

#[test]
fn a_name_that_breaks_the_rules_is_a_typed_error() {
    // Frame kind 1 (hello) whose field 1 (member) contains a space.
    let bytes = [0, 0, 0, 5, 0x0a, 0x03, 0x0a, 0x01, b' '];
    let mut buffer = BytesMut::from(&bytes[..]);
    assert!(matches!(PeerCodec::new().decode(&mut buffer), Err(WireError::Invalid("member"))));
}
