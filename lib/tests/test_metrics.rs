//! Tests of metrics in the statsd format.

use std::net::UdpSocket;
use std::time::Duration;

use balsamfold::process::metrics::Metrics;
use balsamfold::request::Refusal;
use balsamfold::request::RefusalReason;

fn received(send: impl FnOnce(&Metrics)) -> String {
    let receiver = UdpSocket::bind("127.0.0.1:0").unwrap();
    receiver
        .set_read_timeout(Some(Duration::from_secs(30)))
        .unwrap();
    let metrics = Metrics::start(Some(receiver.local_addr().unwrap())).unwrap();
    send(&metrics);
    let mut buffer = [0; 1_024];
    let length = receiver.recv(&mut buffer).unwrap();
    String::from_utf8(buffer[..length].to_vec()).unwrap()
}

#[test]
fn refusals_are_counted_by_code_and_verdict() {
    let refusal = Refusal::not_run(RefusalReason::Overloaded);
    let metric = received(|metrics| metrics.record_refusal(&refusal));
    assert_eq!(
        metric,
        "balsamfold.refused:1|c|#code:overloaded,verdict:not-run"
    );
}

#[test]
fn responses_are_counted() {
    let metric = received(|metrics| metrics.record_response(Duration::from_millis(7)));
    assert_eq!(metric, "balsamfold.answered:1|c");
}
