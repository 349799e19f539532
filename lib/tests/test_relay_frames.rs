//! Encoding and decoding of frames between nodes.

use balsamfold::process::relay::Frame;
use balsamfold::process::relay::Head;
use balsamfold::process::relay::encode_frame;
use bytes::BytesMut;
use proptest::prelude::*;

#[test]
fn frames_are_decoded_at_any_split_of_the_stream() {
    let head = Head::Ping {
        exchange: balsamfold::process::relay::ExchangeId(7),
    };
    let encoded = encode_frame(&head, b"body").expect("frame is short enough");
    let two = [encoded.as_ref(), encoded.as_ref()].concat();
    for cut in 0..two.len() {
        let mut received = BytesMut::from(&two[..cut]);
        let mut frames = 0;
        while Frame::split_from(&mut received)
            .expect("frame is valid")
            .is_some()
        {
            frames += 1;
        }
        received.extend_from_slice(&two[cut..]);
        while let Some(frame) = Frame::split_from(&mut received).expect("frame is valid") {
            assert_eq!(frame.body.as_ref(), b"body");
            frames += 1;
        }
        assert_eq!(frames, 2, "cut at {cut}");
    }
}

proptest! {
    #[test]
    fn arbitrary_bytes_do_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let mut received = BytesMut::from(&bytes[..]);
        while let Ok(Some(frame)) = Frame::split_from(&mut received) {
            let _ = frame.head();
        }
    }
}
