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
