//! Tests of the event catalogue and the limit on log lines.

use std::time::Duration;
use std::time::Instant;

use balsamfold::process::events::LineDecision;
use balsamfold::process::events::LineLimiter;
use balsamfold::process::events::catalogue;

#[test]
fn event_numbers_are_unique() {
    let all = catalogue();
    let repeated: Vec<_> = all
        .windows(2)
        .filter(|pair| pair[0].number == pair[1].number)
        .collect();
    assert_eq!(repeated, Vec::<&[_]>::new());
}

#[test]
fn every_event_is_in_the_documented_catalogue() {
    let page = include_str!("../../docs/events.md");
    let missing: Vec<_> = catalogue()
        .into_iter()
        .filter(|event| {
            !page.contains(&format!(
                "| {} | `{}` | {} |",
                event.number, event.name, event.meaning
            ))
        })
        .map(|event| event.name)
        .collect();
    assert_eq!(missing, Vec::<&str>::new());
}

#[test]
fn lines_of_one_kind_are_bounded_and_omitted_lines_are_counted() {
    let mut limiter = LineLimiter::default();
    let start = Instant::now();
    let written = (0..100)
        .filter(|_| limiter.decide(1, start) == LineDecision::Write { omitted: 0 })
        .count();
    assert_eq!(written, 40);
    assert_eq!(limiter.decide(2, start), LineDecision::Write { omitted: 0 });
    assert_eq!(
        limiter.decide(1, start + Duration::from_secs(1)),
        LineDecision::Write { omitted: 60 }
    );
}
