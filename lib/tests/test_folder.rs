//! Reading, merging and checking of configuration folders.

use std::path::PathBuf;

use balsamfold::values::Importance;
use balsamfold::version::folder::Folder;
use balsamfold::version::folder::SourceFile;
use proptest::prelude::*;

fn file(name: &str, text: &str) -> SourceFile {
    SourceFile {
        name: name.to_owned(),
        text: text.to_owned(),
    }
}

fn merge_error(files: &[SourceFile]) -> String {
    Folder::merge(files).unwrap_err().to_string()
}

const ZONE: &str = "[zone.bello]\nregion = 'antioquia'\n";

#[test]
fn later_file_replaces_whole_entries() {
    let first = "[organisation.acme]\nrate_per_s = 1\nburst_tokens = 2\n";
    let second = "[organisation.acme]\nrate_per_s = 10\nburst_tokens = 20\n";
    let zone = "[zone.bello]\nregion = 'a'\nrate_weight = 7\n";
    let files = [
        file("20.toml", second),
        file("10.toml", first),
        file("11.toml", zone),
        file("12.toml", ZONE),
    ];
    let folder = Folder::merge(&files).unwrap();
    let organisation = folder.organisations.values().next().unwrap();
    assert_eq!(organisation.rate_per_s.0, 10);
    assert_eq!(organisation.burst_tokens.0, 20);
    assert_eq!(folder.zones.values().next().unwrap().rate_weight, 1);
}

#[test]
fn all_errors_are_reported_at_once_with_their_places() {
    let organisations = "
[organisation.acme]
rate_per_s = -1
burst_tokens = 'many'
colour = 'red'

[organisation.Big]
rate_per_s = 0

[organization.typo]
rate_per_s = 1
";
    let routes = "
[route.'stock']
service = 'Stock'
class = 'x'
repeatability = 'twice'
deadline_ms = 0

[key.k]
hash = 'abc'

[zone]
bello = 3
";
    let files = [file("a.toml", organisations), file("b.toml", routes)];
    insta::assert_snapshot!(merge_error(&files));
}

#[test]
fn syntax_errors_name_their_lines() {
    let files = [file("c.toml", "[zone.x]\nregion = \n[[\n")];
    insta::assert_snapshot!(merge_error(&files));
}

#[test]
fn entry_with_a_problem_is_not_also_reported_as_unknown() {
    let key = format!(
        "[key.a]\nhash = '{}'\norganisation = 'acme'\n",
        "00".repeat(32)
    );
    let files = [
        file("1.toml", ZONE),
        file(
            "2.toml",
            "[organisation.acme]\nrate_per_s = 0\nburst_tokens = 1\n",
        ),
        file("3.toml", &key),
        file(
            "4.toml",
            &key.replace("acme", "other").replace("key.a", "key.b"),
        ),
    ];
    insta::assert_snapshot!(merge_error(&files));
}

#[test]
fn references_between_entries_are_checked_after_the_merge() {
    let hash = "00".repeat(32);
    let keys = format!("[key.a]\nhash = '{hash}'\norganisation = 'acme'\n");
    let same = format!("[key.b]\nhash = '{hash}'\norganisation = 'none'\n");
    let acme = "[organisation.acme]\nrate_per_s = 1\nburst_tokens = 1\n";
    let route = "[route.'/x']\nservice = 's'\nclass = 'none'\nrepeatability = 'idempotent'\n\
        deadline_ms = 5\n";
    let files = [
        file("1.toml", acme),
        file("2.toml", &keys),
        file("3.toml", &same),
        file("4.toml", route),
    ];
    insta::assert_snapshot!(merge_error(&files));
}

#[test]
fn routes_get_the_rank_of_their_class() {
    let class = "[class.high]\nrank = 200\n";
    let route = "[route.'/x']\nservice = 's'\nclass = 'high'\nrepeatability = 'idempotent'\n\
        deadline_ms = 5\n";
    let files = [file("1", ZONE), file("2", class), file("3", route)];
    let folder = Folder::merge(&files).unwrap();
    assert_eq!(folder.routes[0].importance, Importance(200));
}

#[test]
fn examples_are_valid_at_their_sizes() {
    let sizes = ["botonera", "cap-bon"].map(|name| {
        let path = PathBuf::from(env!("CARGO_MANIFEST_DIR"))
            .join("../docs/examples")
            .join(name);
        let folder = Folder::read(&path).unwrap();
        (
            folder.zones.len(),
            folder.organisations.len(),
            folder.keys.len(),
        )
    });
    assert_eq!(sizes, [(4, 8, 8), (3, 8, 8)]);
}

#[test]
fn missing_folder_is_an_error() {
    let error = Folder::read(&PathBuf::from("/nonexistent-folder")).unwrap_err();
    assert_eq!(error.problems.len(), 1);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn any_text_is_parsed_or_refused(text in any::<String>()) {
        let _ = Folder::merge(&[file("a.toml", &text)]);
    }

    #[test]
    fn any_mix_of_fragments_is_parsed_or_refused(
        parts in prop::collection::vec(prop::sample::select(FRAGMENTS), 0..24),
    ) {
        let text = parts.concat();
        match Folder::merge(&[file("a.toml", &text)]) {
            Ok(folder) => prop_assert!(!folder.zones.is_empty()),
            Err(error) => prop_assert!(!error.problems.is_empty()),
        }
    }
}

const FRAGMENTS: &[&str] = &[
    "[zone.a]\n",
    "[organisation.acme]\n",
    "[key.k]\n",
    "[route.\"/x\"]\n",
    "[class.c]\n",
    "[[zone]]\n",
    "region = 'r'\n",
    "rate_per_s = 5\n",
    "burst_tokens = 5\n",
    "rank = 300\n",
    "hash = 'zz'\n",
    "deadline_ms = 9999999999999999999\n",
    "x.y.z = {a = [1, 2, {b = 1}]}\n",
    "\u{feff}",
    "\"\"\"",
    "é = 'ü'\n",
    "= \n",
    "1979-05-27\n",
    "nan = nan\n",
    "\r\n",
    "{",
    "]",
];
