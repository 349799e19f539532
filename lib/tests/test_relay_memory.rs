//! Memory that requests in flight retain beyond their own size.

use balsamfold::connection::BufferedRequest;
use balsamfold::process::relay::ExchangeId;
use balsamfold::process::relay::Frame;
use balsamfold::process::relay::Head;
use balsamfold::process::relay::encode_frame;
use bytes::Bytes;
use bytes::BytesMut;
use http::HeaderMap;
use http::HeaderValue;
use http::Method;
use http::Uri;
use proptest::prelude::*;

/// Size of the read buffer of a connection.
const READ_BYTES: usize = 16 * 1_024;

#[test]
fn short_body_does_not_retain_the_read_buffer() {
    let exchange = ExchangeId(7);
    let encoded = encode_frame(&Head::Ping { exchange }, b"body").unwrap();
    let mut received = BytesMut::with_capacity(READ_BYTES);
    received.extend_from_slice(&encoded);
    let Frame { body, .. } = Frame::split_from(&mut received).unwrap().unwrap();
    assert!(received.try_reclaim(READ_BYTES));
    assert_eq!(body.as_ref(), b"body");
}

#[test]
fn compact_request_does_not_retain_the_read_buffer() {
    let read = Bytes::from(vec![b'a'; READ_BYTES]);
    let mut headers = HeaderMap::new();
    let value = HeaderValue::from_maybe_shared(read.slice(..20)).unwrap();
    headers.insert("x-first", value);
    let path = BytesMut::from(&b"/"[..]);
    let request = BufferedRequest {
        method: Method::GET,
        uri: Uri::from_maybe_shared(path.freeze()).unwrap(),
        headers,
        body: Bytes::new(),
    };
    assert!(!read.is_unique());
    let compact = request.into_compact();
    assert!(read.is_unique());
    assert_eq!(compact.headers["x-first"].len(), 20);
}

proptest! {
    #[test]
    fn compact_request_equals_the_original(
        values in prop::collection::vec(("[a-d]", "[ -~]{0,20}"), 0..12),
        path in "/[a-z]{0,8}([?][a-z=&]{0,8})?",
        body in prop::collection::vec(any::<u8>(), 0..20),
    ) {
        let mut headers = HeaderMap::new();
        for (name, value) in &values {
            let name = http::HeaderName::from_bytes(name.as_bytes()).unwrap();
            headers.append(name, HeaderValue::from_str(value).unwrap());
        }
        let request = BufferedRequest {
            method: Method::POST,
            uri: path.parse().unwrap(),
            headers,
            body: Bytes::from(body),
        };
        let compact = request.clone().into_compact();
        prop_assert_eq!(compact.method, request.method);
        prop_assert_eq!(compact.uri, request.uri);
        prop_assert_eq!(compact.headers, request.headers);
        prop_assert_eq!(compact.body, request.body);
    }
}
