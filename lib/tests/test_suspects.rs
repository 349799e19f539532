//! Tests of requests that crash every backend server that runs them.

use std::collections::BTreeSet;

use balsamfold::connection::BufferedRequest;
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
use bytes::Bytes;
use http::HeaderMap;
use http::HeaderValue;
use http::Method;
use http::header;
use proptest::prelude::*;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;

const SERVERS: usize = 6;
const WALL: WallTime = WallTime(1_000_000);

fn fingerprint(body: u32) -> Fingerprint {
    let content = ContentDigest::of("POST", "/stock", &body.to_be_bytes());
    let organisation = "workshop".parse().unwrap();
    Fingerprint::of(
        &"stock".parse().unwrap(),
        Some(&organisation),
        b"shop",
        content,
    )
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

// Guards against a request that is refused, or cleared, for what an equal one did to another program.
#[test]
fn equal_requests_to_other_hosts_or_services_are_different() {
    let fingerprint_at = |service: &str, host: &'static str| {
        let request = BufferedRequest {
            method: Method::GET,
            uri: "/".parse().unwrap(),
            headers: HeaderMap::from_iter([(header::HOST, HeaderValue::from_static(host))]),
            body: Bytes::new(),
        };
        Fingerprint::of_request(&service.parse().unwrap(), None, &request)
    };
    let one = fingerprint_at("stock", "shop");
    assert_eq!(one, fingerprint_at("stock", "shop"));
    assert_ne!(one, fingerprint_at("stock", "depot"));
    assert_ne!(one, fingerprint_at("stock-next", "shop"));
}

#[derive(Clone, Copy, PartialEq)]
enum Updates {
    Sent,
    Withheld,
}

/// The backend servers of one service. The crashing request crashes each one that runs it.
struct Service {
    rng: StdRng,
    updates: Updates,
    tables: Vec<Suspects>,
    records: Vec<NodeRecord>,
    in_flight: Vec<Vec<u32>>,
    crashed_servers: BTreeSet<usize>,
    finished: BTreeSet<u32>,
    bystanders_in_trials: u32,
}

const CRASHING: u32 = 0;

impl Service {
    fn new(seed: u64, updates: Updates) -> Self {
        let records: Vec<_> = (0..SERVERS).map(record).collect();
        Self {
            rng: StdRng::seed_from_u64(seed),
            updates,
            tables: records
                .iter()
                .map(|record| Suspects::new(record.id.clone()))
                .collect(),
            records,
            in_flight: vec![Vec::new(); SERVERS],
            crashed_servers: BTreeSet::new(),
            finished: BTreeSet::new(),
            bystanders_in_trials: 0,
        }
    }

    fn running(&self) -> Vec<usize> {
        (0..SERVERS)
            .filter(|server| !self.crashed_servers.contains(server))
            .collect()
    }

    /// Submits a request to a node, which runs it, refuses it or forwards it to its trial node.
    fn submit(&mut self, server: usize, body: u32) {
        match self.tables[server].admit(fingerprint(body)) {
            SuspectAdmission::Run => self.in_flight[server].push(body),
            SuspectAdmission::OnlyOn(node) => {
                let only = self
                    .records
                    .iter()
                    .position(|record| record.id == node)
                    .unwrap();
                if !self.crashed_servers.contains(&only) && only != server {
                    self.submit(only, body);
                }
            }
            SuspectAdmission::RunAlone | SuspectAdmission::RunFamiliar => {
                self.drain(server);
                self.bystanders_in_trials += self.in_flight[server].len() as u32;
                self.in_flight[server].push(body);
                self.drain(server);
            }
            SuspectAdmission::TrialRunning
            | SuspectAdmission::Elsewhere
            | SuspectAdmission::Quarantined => {}
        }
    }

    /// Finishes the requests of a server, or crashes it if the crashing request is among them.
    fn drain(&mut self, server: usize) {
        if self.in_flight[server].contains(&CRASHING) {
            self.crash(server);
            return;
        }
        for body in std::mem::take(&mut self.in_flight[server]) {
            let updates = self.tables[server].on_finished(fingerprint(body));
            self.finished.insert(body);
            self.send_updates(server, updates.into_iter().collect());
        }
    }

    fn crash(&mut self, server: usize) {
        self.crashed_servers.insert(server);
        let in_flight = std::mem::take(&mut self.in_flight[server]);
        let fingerprints = in_flight.iter().map(|body| fingerprint(*body));
        let running = self.running();
        let others: Vec<_> = running
            .iter()
            .map(|other| self.records[*other].clone())
            .collect();
        let updates = self.tables[server].on_crash(fingerprints, &others, WALL);
        self.send_updates(server, updates);
    }

    fn send_updates(&mut self, from: usize, updates: Vec<SuspectEntry>) {
        if self.updates == Updates::Withheld {
            return;
        }
        for server in (0..SERVERS).filter(|server| *server != from) {
            let clearances = self.tables[server].merge(&updates, WALL);
            if !clearances.is_empty() {
                self.send_updates(server, clearances);
            }
        }
    }

    /// Sends the crashing request and bystanders repeatedly, each round after the previous one.
    fn resend_sequentially(&mut self, copies: usize) {
        for _ in 0..30 {
            let mut running = self.running();
            running.shuffle(&mut self.rng);
            for server in running.iter().take(copies) {
                for _ in 0..5 {
                    let bystander = self.rng.random_range(1..20);
                    self.submit(*server, bystander);
                }
                self.submit(*server, CRASHING);
            }
            for server in running {
                if !self.crashed_servers.contains(&server) {
                    self.drain(server);
                }
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    #[test]
    fn a_sequentially_resent_request_crashes_at_most_two_servers(seed: u64) {
        let mut service = Service::new(seed, Updates::Sent);
        service.resend_sequentially(1);
        prop_assert_eq!(service.crashed_servers.len(), 2);
        prop_assert_eq!(service.bystanders_in_trials, 0);
    }

    #[test]
    fn parallel_copies_crash_at_most_one_server_each(
        seed: u64,
        copies in 2usize..SERVERS,
    ) {
        let mut service = Service::new(seed, Updates::Sent);
        service.resend_sequentially(copies);
        prop_assert!(service.crashed_servers.len() <= copies);
    }

    #[test]
    fn bystanders_are_served_eventually(seed: u64) {
        let mut service = Service::new(seed, Updates::Sent);
        service.resend_sequentially(1);
        let running = service.running();
        for body in 1..20 {
            service.submit(running[0], body);
        }
        service.drain(running[0]);
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
fn without_updates_a_resent_request_crashes_all_servers() {
    let mut service = Service::new(1, Updates::Withheld);
    service.resend_sequentially(1);
    assert_eq!(service.crashed_servers.len(), SERVERS);
}

fn random_entry(rng: &mut StdRng) -> SuspectEntry {
    let mut entry = SuspectEntry::new(fingerprint(1));
    for _ in 0..rng.random_range(0..6) {
        let crashed = rng.random_range(0..4);
        let mut table = Suspects::new(record(crashed).id);
        let wall = WallTime(rng.random_range(1..5));
        let updates = table.on_crash([fingerprint(1)], &[record(5)], wall);
        entry.merge(&updates[0]);
        if rng.random_bool(0.5) {
            entry.clear_after_finish();
        }
    }
    entry
}

fn merged(one: &SuspectEntry, other: &SuspectEntry) -> SuspectEntry {
    let mut merged = one.clone();
    merged.merge(other);
    merged
}

// Guards against responses from before a crash that hide who caused it (BUDGET).
#[test]
fn requests_that_finished_before_a_crash_are_suspected_until_they_finish_again() {
    let mut table = Suspects::new(record(0).id);
    table.on_finished(fingerprint(1));
    let updates = table.on_crash([fingerprint(1), fingerprint(2)], &[record(1)], WALL);
    assert_eq!(updates.len(), 2);
    let mut other = Suspects::new(record(1).id);
    other.on_finished(fingerprint(1));
    assert!(other.merge(&updates, WALL).is_empty());
    assert_eq!(other.admit(fingerprint(1)), SuspectAdmission::RunFamiliar);
    assert_eq!(other.admit(fingerprint(2)), SuspectAdmission::RunAlone);
    let cleared = other.on_finished(fingerprint(1)).unwrap();
    table.merge(&[cleared], WALL);
    for table in [&mut table, &mut other] {
        assert_eq!(table.admit(fingerprint(1)), SuspectAdmission::Run);
    }
}

// Guards against a popular request that is refused because several servers crashed at the same moment.
#[test]
fn a_popular_request_in_flight_at_crashes_of_all_servers_is_not_quarantined() {
    let mut tables: Vec<_> = (0..SERVERS)
        .map(|server| Suspects::new(record(server).id))
        .collect();
    let records: Vec<_> = (0..SERVERS).map(record).collect();
    let mut updates = Vec::new();
    for table in &mut tables {
        table.on_finished(fingerprint(1));
        updates.extend(table.on_crash([fingerprint(1)], &records, WALL));
    }
    for table in &mut tables {
        table.merge(&updates, WALL);
        let statuses: Vec<_> = table.entries().map(SuspectEntry::status).collect();
        assert_eq!(statuses, [SuspectStatus::Suspected]);
    }
}

// Guards against a request that is refused because two servers crashed at which it was new, although a third
// one finished it (seed 56 of the soak of popular requests).
#[test]
fn a_request_that_a_third_server_finished_is_not_quarantined_by_crashes_of_two() {
    let mut third = Suspects::new(record(2).id);
    third.on_finished(fingerprint(1));
    let mut known = Vec::new();
    for server in 0..2 {
        let mut crashed = Suspects::new(record(server).id);
        let updates = crashed.on_crash([fingerprint(1)], &[record(2)], WALL);
        known.extend(third.merge(&updates, WALL));
    }
    let mut fourth = Suspects::new(record(3).id);
    fourth.merge(&known, WALL);
    for table in [&third, &fourth] {
        let statuses: Vec<_> = table.entries().map(SuspectEntry::status).collect();
        assert_eq!(statuses, [SuspectStatus::Suspected]);
    }
}

// Guards against a popular request that is refused because another request was on trial beside it.
#[test]
fn a_crash_beside_several_trials_quarantines_none_of_them() {
    let mut table = Suspects::new(record(1).id);
    let mut crashed = Suspects::new(record(0).id);
    let popular = [fingerprint(1), fingerprint(2)];
    for request in popular {
        crashed.on_finished(request);
        table.on_finished(request);
    }
    table.merge(&crashed.on_crash(popular, &[record(1)], WALL), WALL);
    for request in popular {
        assert_eq!(table.admit(request), SuspectAdmission::RunFamiliar);
    }
    for entry in table.on_crash(popular, &[record(2)], WALL) {
        assert_eq!(entry.status(), SuspectStatus::Suspected);
        assert!(!entry.allows_shared_trial());
    }
}

// Guards against a popular request that is refused because a new one crashed the server of its trial (found by
// the soak of popular requests).
#[test]
fn a_crash_beside_a_new_request_decides_only_the_trial_of_one_suspect_alone() {
    let (popular, new) = (fingerprint(1), fingerprint(2));
    let mut tables: Vec<_> = (0..3).map(|node| Suspects::new(record(node).id)).collect();
    tables[0].on_finished(popular);
    let mut updates = tables[0].on_crash([popular], &[record(1)], WALL);
    for (node, expected) in [
        (1, SuspectStatus::Suspected),
        (2, SuspectStatus::Quarantined),
    ] {
        tables[node].merge(&updates, WALL);
        let admission = match expected {
            SuspectStatus::Suspected => SuspectAdmission::RunFamiliar,
            _ => SuspectAdmission::RunAlone,
        };
        assert_eq!(tables[node].admit(popular), admission);
        updates = tables[node].on_crash([popular, new], &[record(2)], WALL);
        let moved = tables[node].reassign_trials_of(&record(1).id, &[record(2)]);
        updates.extend(moved);
        let of_popular = |entry: &&SuspectEntry| entry.fingerprint == popular;
        let entry = updates.iter().rfind(of_popular).unwrap();
        assert_eq!(entry.status(), expected);
    }
}

#[test]
fn a_node_that_finished_a_suspect_clears_it_on_all_nodes() {
    let mut crashed = Suspects::new(record(0).id);
    let mut other = Suspects::new(record(1).id);
    let updates = crashed.on_crash([fingerprint(1)], &[record(1)], WALL);
    other.merge(&updates, WALL);
    let cleared = other.on_finished(fingerprint(1)).unwrap();
    crashed.merge(&[cleared], WALL);
    assert_eq!(crashed.admit(fingerprint(1)), SuspectAdmission::Run);
}

// Guards against crashes that are forgotten because an entry is full of earlier ones (BUDGET).
#[test]
fn a_crash_counts_after_many_that_were_cleared() {
    let mut observer = Suspects::new(record(SERVERS).id);
    for crash in 0..2 * SuspectEntry::CRASHES_MAX {
        // In reverse order of the names, so that no node's crashes are last in any order of them.
        let server = SERVERS - 1 - crash % SERVERS;
        let wall = WallTime(WALL.0 + 1_000 * crash as u64);
        let updates = Suspects::new(record(server).id).on_crash([fingerprint(1)], &[], wall);
        observer.merge(&updates, wall);
        let statuses: Vec<_> = observer.entries().map(SuspectEntry::status).collect();
        assert_eq!(statuses, [SuspectStatus::Suspected], "after {crash}");
        observer.on_finished(fingerprint(1));
    }
}

// Guards against a request that crashes one server again and again, because others finish it in between (BUDGET).
#[test]
fn a_request_that_others_finish_runs_elsewhere_after_two_crashes_of_the_local_server() {
    let mut table = Suspects::new(record(0).id);
    let mut other = Suspects::new(record(1).id);
    for crash in 0..2 {
        assert_eq!(table.admit(fingerprint(1)), SuspectAdmission::Run);
        let wall = WallTime(WALL.0 + 1_000 * crash);
        let updates = table.on_crash([fingerprint(1)], &[record(1)], wall);
        other.merge(&updates, wall);
        table.merge(&[other.on_finished(fingerprint(1)).unwrap()], wall);
    }
    assert_eq!(table.admit(fingerprint(1)), SuspectAdmission::Elsewhere);
    let others = [record(0), record(1)];
    assert_eq!(
        table.other_node(fingerprint(1), &others),
        Some(record(1).id)
    );
    assert_eq!(table.other_node(fingerprint(1), &[record(0)]), None);
    table.on_finished(fingerprint(1));
    assert_eq!(table.admit(fingerprint(1)), SuspectAdmission::Run);
}

#[test]
fn a_suspect_has_one_trial_at_a_time() {
    let mut table = Suspects::new(record(1).id);
    let updates = Suspects::new(record(0).id).on_crash([fingerprint(1)], &[record(1)], WALL);
    table.merge(&updates, WALL);
    assert_eq!(table.admit(fingerprint(1)), SuspectAdmission::RunAlone);
    assert_eq!(table.admit(fingerprint(1)), SuspectAdmission::TrialRunning);
    table.on_not_cleared(fingerprint(1));
    assert_eq!(table.admit(fingerprint(1)), SuspectAdmission::RunAlone);
}

// Guards against crashes of one server that never add up to a quarantine (BUDGET).
#[test]
fn a_request_that_crashes_the_only_server_on_trial_is_quarantined() {
    let mut table = Suspects::new(record(0).id);
    assert_eq!(table.admit(fingerprint(1)), SuspectAdmission::Run);
    table.on_crash([fingerprint(1)], &[], WALL);
    assert_eq!(table.admit(fingerprint(1)), SuspectAdmission::RunAlone);
    table.on_crash([fingerprint(1)], &[], WallTime(WALL.0 + 2_000));
    assert_eq!(table.admit(fingerprint(1)), SuspectAdmission::Quarantined);
}

#[test]
fn a_quarantine_expires() {
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
fn a_reassigned_trial_visits_all_nodes_before_a_node_gets_it_again() {
    let nodes: Vec<_> = (0..SERVERS).map(record).collect();
    let mut tables: Vec<_> = nodes
        .iter()
        .map(|node| Suspects::new(node.id.clone()))
        .collect();
    for body in 0..50 {
        let mut updates = tables[0].on_crash([fingerprint(body)], &nodes, WALL);
        let mut visited = BTreeSet::new();
        for _ in 0..SERVERS {
            for table in &mut tables {
                table.merge(&updates, WALL);
            }
            let named = updates[0].trial.clone().unwrap().node;
            let holder = nodes.iter().position(|node| node.id == named).unwrap();
            visited.insert(named);
            updates = tables[holder].reassign_trials(&nodes);
            updates.retain(|entry| entry.fingerprint == fingerprint(body));
        }
        assert_eq!(visited.len(), SERVERS, "{visited:?}");
    }
}
