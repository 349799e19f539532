//! Measures the memory and the time that at-most-once records take on one node.
//!
//! Usage: `cargo run --release --example once_cost`.

use std::fs;
use std::time::Instant;

use balsamfold::process::once::AttemptOutcome;
use balsamfold::process::once::ContentDigest;
use balsamfold::process::once::KeyDigest;
use balsamfold::process::once::KeyedDecision;
use balsamfold::process::once::KeyedRequest;
use balsamfold::process::once::MintTime;
use balsamfold::process::once::MintWindow;
use balsamfold::process::once::OnceLimits;
use balsamfold::process::once::OnceRecords;
use balsamfold::process::once::SlotId;
use balsamfold::process::once::StoredResponse;
use balsamfold::request::AttemptCount;
use balsamfold::values::MonotonicTime;

const RECORDS: u64 = 32_768;

const KIB: u64 = 1024;

/// Returns the resident memory of this process, or 0 if the kernel does not report it.
fn resident_kib() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    number.and_then(|text| text.parse().ok()).unwrap_or(0)
}

fn request(number: u64) -> Option<KeyedRequest> {
    let organisation = "workshop".parse().ok()?;
    let key = KeyDigest::of(&organisation, &format!("order-{number}").parse().ok()?);
    Some(KeyedRequest {
        key,
        organisation,
        slot: SlotId::of(&"orders".parse().ok()?, key),
        mint: Some(MintTime(number)),
        content: ContentDigest::of("POST", "/orders", b"zip"),
        extra_attempts: AttemptCount(2),
    })
}

fn fill(records: &mut OnceRecords, requests: &[KeyedRequest], body_bytes: usize) {
    let window = MintWindow {
        from: MintTime(0),
        until: MintTime(u64::MAX),
    };
    let now = MonotonicTime(0);
    for request in requests {
        let decision = records.begin(request, Some(window), MintTime(0), now);
        if let KeyedDecision::Run { record, .. } = decision {
            let response = StoredResponse {
                status: 201,
                headers: Vec::new(),
                body: vec![0; body_bytes].into(),
            };
            records.finish(record, AttemptOutcome::Answered(response), now);
        }
    }
}

fn measure(body_bytes: usize) {
    let requests: Vec<_> = (0..RECORDS).filter_map(request).collect();
    let mut records = OnceRecords::new(OnceLimits {
        organisation_records_max: RECORDS as usize,
        responses_max_bytes: usize::MAX,
        ..OnceLimits::default()
    });
    let before_kib = resident_kib();
    let started = Instant::now();
    fill(&mut records, &requests, body_bytes);
    let elapsed = started.elapsed();
    let added_bytes = (resident_kib() - before_kib) * KIB;
    println!(
        "{} records with responses of {body_bytes} bytes: {} bytes and {} ns each",
        records.len(),
        added_bytes / RECORDS,
        elapsed.as_nanos() as u64 / RECORDS,
    );
    std::mem::forget(records);
}

fn main() {
    for body_bytes in [0, 256, 1024] {
        measure(body_bytes);
    }
}
