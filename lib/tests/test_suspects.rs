//! Requests that crash each backend server that runs them.

use std::collections::BTreeSet;

use balsamfold::process::membership::NodeAddresses;
use balsamfold::process::membership::NodeCondition;
use balsamfold::process::membership::NodeRecord;
use balsamfold::process::once::ContentDigest;
use balsamfold::process::suspects::Fingerprint;
use balsamfold::process::suspects::SuspectAdmission;
use balsamfold::process::suspects::SuspectEntry;
use balsamfold::process::suspects::SuspectStatus;
use balsamfold::process::suspects::Suspects;
use balsamfold::values::Incarnation;
use balsamfold::values::WallTime;
use proptest::prelude::*;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;

const SERVERS: usize = 6;
const WALL: WallTime = WallTime(1_000_000);

fn fingerprint(body: u32) -> Fingerprint {
    let content = ContentDigest::of("POST", "/stock", &body.to_be_bytes());
    Fingerprint::of(Some(&"workshop".parse().unwrap()), content)
}

fn record(index: usize) -> NodeRecord {
    let address = "127.0.0.1:1".parse().unwrap();
    NodeRecord {
        id: format!("n{index}").parse().unwrap(),
        zone: "centre".parse().unwrap(),
        addresses: NodeAddresses {
            peer: address,
            control: address,
            probe: address,
        },
        incarnation: Incarnation(1),
        condition: NodeCondition::Alive,
        server: None,
    }
}

#[derive(Clone, Copy, PartialEq)]
enum News {
    Told,
    Withheld,
}

/// Backend servers of one service, of which a killer request takes down each one that runs it.
struct Service {
    rng: StdRng,
    news: News,
    tables: Vec<Suspects>,
    records: Vec<NodeRecord>,
    in_flight: Vec<Vec<u32>>,
    down: BTreeSet<usize>,
    finished: BTreeSet<u32>,
    beside_healthy: u32,
}

const KILLER: u32 = 0;

impl Service {
    fn new(seed: u64, news: News) -> Self {
        let records: Vec<_> = (0..SERVERS).map(record).collect();
        Self {
            rng: StdRng::seed_from_u64(seed),
            news,
            tables: records
                .iter()
                .map(|record| Suspects::new(record.id.clone()))
                .collect(),
            records,
            in_flight: vec![Vec::new(); SERVERS],
            down: BTreeSet::new(),
            finished: BTreeSet::new(),
            beside_healthy: 0,
        }
    }

    fn up(&self) -> Vec<usize> {
        (0..SERVERS)
            .filter(|server| !self.down.contains(server))
            .collect()
    }

    /// Hands a request to the backend server of a node, or to the node that may run it alone.
    fn arrive(&mut self, server: usize, body: u32) {
        match self.tables[server].admit(fingerprint(body)) {
            SuspectAdmission::Run => self.in_flight[server].push(body),
            SuspectAdmission::OnlyOn(node) => {
                let only = self
                    .records
                    .iter()
                    .position(|record| record.id == node)
                    .unwrap();
                if !self.down.contains(&only) && only != server {
                    self.arrive(only, body);
                }
            }
            SuspectAdmission::RunAlone => {
                self.drain(server);
                self.beside_healthy += self.in_flight[server].len() as u32;
                self.in_flight[server].push(body);
                self.drain(server);
            }
            SuspectAdmission::TrialRunning | SuspectAdmission::Quarantined => {}
        }
    }

    /// Lets a server end what it runs; a killer among it takes it down.
    fn drain(&mut self, server: usize) {
        if self.in_flight[server].contains(&KILLER) {
            self.crash(server);
            return;
        }
        for body in std::mem::take(&mut self.in_flight[server]) {
            let news = self.tables[server].on_finished(fingerprint(body));
            self.finished.insert(body);
            self.tell(server, news.into_iter().collect());
        }
    }

    fn crash(&mut self, server: usize) {
        self.down.insert(server);
        let in_flight = std::mem::take(&mut self.in_flight[server]);
        let fingerprints = in_flight.iter().map(|body| fingerprint(*body));
        let up = self.up();
        let others: Vec<_> = up
            .iter()
            .map(|other| self.records[*other].clone())
            .collect();
        let news = self.tables[server].on_crash(fingerprints, &others, WALL);
        self.tell(server, news);
    }

    fn tell(&mut self, from: usize, news: Vec<SuspectEntry>) {
        if self.news == News::Withheld {
            return;
        }
        for server in (0..SERVERS).filter(|server| *server != from) {
            let clearances = self.tables[server].merge(&news, WALL);
            if !clearances.is_empty() {
                self.tell(server, clearances);
            }
        }
    }

    /// Sends the killer and bystanders many times, each after the answer to the one before.
    fn resend_in_turn(&mut self, copies: usize) {
        for _ in 0..30 {
            let mut up = self.up();
            up.shuffle(&mut self.rng);
            for server in up.iter().take(copies) {
                for _ in 0..5 {
                    let bystander = self.rng.random_range(1..20);
                    self.arrive(*server, bystander);
                }
                self.arrive(*server, KILLER);
            }
            for server in up {
                if !self.down.contains(&server) {
                    self.drain(server);
                }
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    #[test]
    fn a_request_resent_in_turn_takes_down_two_servers_at_most(seed: u64) {
        let mut service = Service::new(seed, News::Told);
        service.resend_in_turn(1);
        prop_assert_eq!(service.down.len(), 2);
        prop_assert_eq!(service.beside_healthy, 0);
    }

    #[test]
    fn parallel_copies_take_down_no_more_than_the_servers_that_began_them(
        seed: u64,
        copies in 2usize..SERVERS,
    ) {
        let mut service = Service::new(seed, News::Told);
        service.resend_in_turn(copies);
        prop_assert!(service.down.len() <= copies);
    }

    #[test]
    fn bystanders_are_served_in_the_end(seed: u64) {
        let mut service = Service::new(seed, News::Told);
        service.resend_in_turn(1);
        let up = service.up();
        for body in 1..20 {
            service.arrive(up[0], body);
        }
        service.drain(up[0]);
        let served: Vec<_> = service.finished.iter().copied().collect();
        prop_assert_eq!(served, (1..20).collect::<Vec<_>>());
    }

    #[test]
    fn merging_is_commutative_associative_and_idempotent(seed: u64) {
        let mut rng = StdRng::seed_from_u64(seed);
        let [a, b, c] = [(); 3].map(|()| random_entry(&mut rng));
        prop_assert_eq!(merged(&a, &b), merged(&b, &a));
        prop_assert_eq!(merged(&merged(&a, &b), &c), merged(&a, &merged(&b, &c)));
        prop_assert_eq!(merged(&merged(&a, &b), &b), merged(&a, &b));
    }
}

#[test]
fn without_the_news_a_resent_request_would_take_down_all_servers() {
    let mut service = Service::new(1, News::Withheld);
    service.resend_in_turn(1);
    assert_eq!(service.down.len(), SERVERS);
}

fn random_entry(rng: &mut StdRng) -> SuspectEntry {
    let mut entry = SuspectEntry::new(fingerprint(1));
    for _ in 0..rng.random_range(0..6) {
        let crashed = rng.random_range(0..4);
        let mut table = Suspects::new(record(crashed).id);
        let wall = WallTime(rng.random_range(1..5));
        let news = table.on_crash([fingerprint(1)], &[record(5)], wall);
        entry.merge(&news[0]);
        if rng.random_bool(0.5) {
            entry.clear_after_finish(&record(rng.random_range(0..4)).id);
        }
    }
    entry
}

fn merged(one: &SuspectEntry, other: &SuspectEntry) -> SuspectEntry {
    let mut merged = one.clone();
    merged.merge(other);
    merged
}

#[test]
fn requests_that_finish_all_the_time_are_no_suspects() {
    let mut table = Suspects::new(record(0).id);
    table.on_finished(fingerprint(1));
    let news = table.on_crash([fingerprint(1), fingerprint(2)], &[record(1)], WALL);
    assert_eq!(news.len(), 1);
    assert_eq!(table.admit(fingerprint(1)), SuspectAdmission::Run);
}

#[test]
fn a_node_that_answered_a_suspect_lately_clears_it_for_all() {
    let mut crashed = Suspects::new(record(0).id);
    let mut other = Suspects::new(record(1).id);
    other.on_finished(fingerprint(1));
    let news = crashed.on_crash([fingerprint(1)], &[record(1)], WALL);
    let clearances = other.merge(&news, WALL);
    crashed.merge(&clearances, WALL);
    assert_eq!(crashed.admit(fingerprint(1)), SuspectAdmission::Run);
}

#[test]
fn one_suspect_at_a_time_is_on_trial() {
    let mut table = Suspects::new(record(1).id);
    let news = Suspects::new(record(0).id).on_crash([fingerprint(1)], &[record(1)], WALL);
    table.merge(&news, WALL);
    assert_eq!(table.admit(fingerprint(1)), SuspectAdmission::RunAlone);
    assert_eq!(table.admit(fingerprint(1)), SuspectAdmission::TrialRunning);
    table.on_not_run(fingerprint(1));
    assert_eq!(table.admit(fingerprint(1)), SuspectAdmission::RunAlone);
}

#[test]
fn quarantine_ends_after_its_time() {
    let mut table = Suspects::new(record(2).id);
    for crashed in 0..2 {
        let mut other = Suspects::new(record(crashed).id);
        table.merge(&other.on_crash([fingerprint(1)], &[record(2)], WALL), WALL);
    }
    let statuses: Vec<_> = table.entries().map(SuspectEntry::status).collect();
    assert_eq!(statuses, [SuspectStatus::Quarantined]);
    assert_eq!(table.admit(fingerprint(1)), SuspectAdmission::Quarantined);
    let quarantine_ms = Suspects::QUARANTINE.as_millis() as u64;
    table.expire(WallTime(WALL.0 + quarantine_ms));
    assert_eq!(table.admit(fingerprint(1)), SuspectAdmission::Run);
}

#[test]
fn the_table_is_bounded_and_keeps_quarantined_requests_longest() {
    let mut table = Suspects::new(record(2).id);
    for crashed in 0..2 {
        let mut other = Suspects::new(record(crashed).id);
        table.merge(&other.on_crash([fingerprint(0)], &[record(2)], WALL), WALL);
    }
    let many = (1..=Suspects::ENTRIES_MAX as u32).map(fingerprint);
    table.on_crash(many, &[record(1)], WALL);
    assert_eq!(table.entries().count(), Suspects::ENTRIES_MAX);
    assert_eq!(table.admit(fingerprint(0)), SuspectAdmission::Quarantined);
}

#[test]
fn a_trial_that_is_passed_on_visits_all_nodes_before_it_comes_back() {
    let nodes: Vec<_> = (0..SERVERS).map(record).collect();
    let mut tables: Vec<_> = nodes
        .iter()
        .map(|node| Suspects::new(node.id.clone()))
        .collect();
    for body in 0..50 {
        let mut news = tables[0].on_crash([fingerprint(body)], &nodes, WALL);
        let mut visited = BTreeSet::new();
        for _ in 0..SERVERS {
            for table in &mut tables {
                table.merge(&news, WALL);
            }
            let named = news[0].trial.clone().unwrap().node;
            let holder = nodes.iter().position(|node| node.id == named).unwrap();
            visited.insert(named);
            news = tables[holder].reassign_trials(&nodes);
            news.retain(|entry| entry.fingerprint == fingerprint(body));
        }
        assert_eq!(visited.len(), SERVERS, "{visited:?}");
    }
}
