//! Encoding and decoding of frames between nodes.

use balsamfold::process::gate::CallTree;
use balsamfold::process::relay::ExchangeId;
use balsamfold::process::relay::Frame;
use balsamfold::process::relay::Head;
use balsamfold::process::relay::LoadNotice;
use balsamfold::process::relay::ResponseHead;
use balsamfold::process::relay::encode_frame;
use bytes::BufMut;
use bytes::BytesMut;
use proptest::prelude::*;
use testutils::relay::unconfirmed;

#[test]
fn frames_are_decoded_at_any_split_of_the_stream() {
    let head = Head::Ping {
        exchange: ExchangeId(7),
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

/// Nodes of earlier versions send no loads and no calls behind the load notice of a response.
#[test]
fn responses_of_earlier_versions_are_read() {
    let head = Head::Response(ResponseHead {
        exchange: ExchangeId(7),
        status: 200,
        headers: Vec::new(),
        confirmation: unconfirmed(),
        load: LoadNotice::default(),
        loads: Vec::new(),
        calls: CallTree::default(),
    });
    let encoded = encode_frame(&head, b"").expect("frame is short enough");
    let later = 2;
    let mut earlier = BytesMut::new();
    earlier.put_u32((encoded.len() - 4 - later) as u32);
    earlier.put_u32((encoded.len() - 8 - later) as u32);
    earlier.put_slice(&encoded[8..encoded.len() - later]);
    let frame = Frame::split_from(&mut earlier).expect("frame is valid");
    let frame = frame.expect("frame is complete");
    match frame.head().expect("head is read") {
        Head::Response(response) => {
            assert_eq!(
                (response.status, response.calls),
                (200, CallTree::default())
            );
        }
        other => panic!("{other:?}"),
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
