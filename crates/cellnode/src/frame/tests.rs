//! Tests of malformed messages between daemons.

use {
    super::{EntryBody, EntryFrame, LeaderBody, LeaderFrame, decode, encode},
    bytes::BytesMut,
    quickcheck::quickcheck,
};

quickcheck! {
    fn any_bytes_are_decoded_or_refused(bytes: Vec<u8>) -> bool {
        let entry = decode::<EntryFrame>(BytesMut::from(bytes.as_slice()));
        let leader = decode::<LeaderFrame>(BytesMut::from(bytes.as_slice()));
        // Whatever is decoded has a purpose.
        entry.map(|frame| frame.purpose());
        leader.map(|frame| frame.purpose());
        true
    }

    fn a_damaged_frame_is_decoded_or_refused(call: u64, text: String, place: usize, byte: u8) -> bool {
        let entry = EntryFrame { call, body: Some(EntryBody::State(text)), caller: None };
        let leader = LeaderFrame { call, body: Some(LeaderBody::Pending(call)) };
        for frame in [encode(&entry), encode(&leader)] {
            let mut bytes = BytesMut::from(&frame[..]);
            if !bytes.is_empty() {
                let place = place % bytes.len();
                bytes[place] = byte;
            }
            decode::<EntryFrame>(bytes.clone());
            decode::<LeaderFrame>(bytes);
        }
        true
    }
}

/// While daemons of two versions run side by side, requests of the older ones are still answered.
#[test]
fn a_request_of_a_former_version_names_no_caller() {
    let bytes: &[u8] = b"\x08\x07\x22\x011";
    let frame: EntryFrame = decode(bytes.into()).expect("a frame");
    let body = Some(EntryBody::State("1".to_owned()));
    assert_eq!(frame, EntryFrame { call: 7, body, caller: None });
}
