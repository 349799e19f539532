//! Benchmarks of the lookup of a key's organisation, by the index and by a comparison with all
//! hashes.

use std::hint::black_box;

use balsamfold::values::ConfigVersion;
use balsamfold::values::RatePerSecond;
use balsamfold::values::TokenCount;
use balsamfold::version::CallerKey;
use balsamfold::version::ChangeId;
use balsamfold::version::Configuration;
use balsamfold::version::IndexedConfiguration;
use balsamfold::version::KeyHash;
use balsamfold::version::KeyRecord;
use balsamfold::version::KeyState;
use balsamfold::version::Organisation;
use criterion::Criterion;
use uuid::Uuid;

fn configuration(keys: usize) -> Configuration {
    let organisation = Organisation {
        id: "acme".parse().expect("valid name"),
        rate_per_s: RatePerSecond(1),
        burst_tokens: TokenCount(1),
    };
    let records = (0..keys).map(|index| KeyRecord {
        id: format!("key-{index}").parse().expect("valid name"),
        hash: KeyHash::of(&key(index)),
        organisation: organisation.id.clone(),
        state: KeyState::Active,
    });
    Configuration {
        version: ConfigVersion(1),
        change_id: ChangeId(Uuid::nil()),
        recent_changes: Vec::new(),
        zones: Default::default(),
        keys: records.map(|record| (record.id.clone(), record)).collect(),
        organisations: [(organisation.id.clone(), organisation)].into(),
        classes: Default::default(),
        routes: Vec::new(),
    }
}

fn key(index: usize) -> CallerKey {
    CallerKey::new(&format!("bfk_key-of-the-bench-{index:08}"))
}

fn key_lookup(criterion: &mut Criterion) {
    for keys in [8, 1_000, 4_000] {
        let indexed = IndexedConfiguration::new(configuration(keys));
        let presented = key(keys / 2);
        criterion.bench_function(&format!("index over {keys} keys"), |bencher| {
            bencher.iter(|| black_box(indexed.organisation_of(black_box(&presented))));
        });
        criterion.bench_function(&format!("all of {keys} keys"), |bencher| {
            let configuration = indexed.configuration();
            bencher.iter(|| black_box(configuration.organisation_of(black_box(&presented))));
        });
        criterion.bench_function(&format!("building the index over {keys} keys"), |bencher| {
            bencher.iter(|| {
                IndexedConfiguration::new(black_box(indexed.configuration().as_ref().clone()))
            });
        });
    }
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    key_lookup(&mut criterion);
    criterion.final_summary();
}
