//! The event catalogue.

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
