//! Even load over unequal servers, chosen by many nodes that know of each other only what their messages
//! carry. The loop has servers with four workers each, first come first served.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::collections::VecDeque;
use std::ops::Range;
use std::time::Duration;

use balsamfold::process::gate::ServiceTime;
use balsamfold::process::load::LoadReport;
use balsamfold::process::load::LoadTable;
use balsamfold::process::load::NodeKey;
use balsamfold::process::load::ServiceLoads;
use balsamfold::process::membership::MemberTable;
use balsamfold::process::membership::NodeAddresses;
use balsamfold::process::membership::NodeCondition;
use balsamfold::process::membership::NodeRecord;
use balsamfold::process::membership::ServerRecord;
use balsamfold::process::routing::CallOutcome;
use balsamfold::process::routing::ChooseContext;
use balsamfold::process::routing::Router;
use balsamfold::values::ConnectionCount;
use balsamfold::values::Incarnation;
use balsamfold::values::MonotonicTime;
use balsamfold::values::NodeId;
use balsamfold::values::ServiceId;
use balsamfold::values::SlotCount;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const WORKERS: usize = 4;
const SLOTS: u32 = 86;
const WORK_US: f64 = 85_000.0;
const TURNED_AWAY_MAX: usize = 2;
const LOADS_PER_MESSAGE: usize = 2;
/// Before this time nothing is counted.
const WARM_UP: MonotonicTime = MonotonicTime(5_000_000);

/// How the nodes choose.
#[derive(Clone, Copy, PartialEq)]
enum Way {
    /// By the loads that messages carry.
    Loads,
    /// By the present queues of all servers.
    AllQueues,
}

struct Job {
    front: usize,
    sent_at: MonotonicTime,
    arrived_at: MonotonicTime,
    work_us: f64,
}

struct Server {
    speed: f64,
    running: usize,
    waiting: VecDeque<Job>,
    held: ServiceTime,
    /// Work that it was given after the warm-up, in microseconds of one worker.
    given_us: f64,
    fails: bool,
}

impl Server {
    fn busy(&self) -> u32 {
        (self.running + self.waiting.len()) as u32
    }
}

struct Front {
    router: Router,
    table: LoadTable,
}

enum Event {
    Arrival,
    End { server: usize, job: Job },
}

/// A fleet of which the first nodes have a server each. Node `i` is in zone `i` modulo three unless
/// `zone_of` says otherwise.
struct Fleet {
    way: Way,
    random: SmallRng,
    members: MemberTable,
    ids: Vec<NodeId>,
    fronts: Vec<Front>,
    servers: Vec<Server>,
    events: BinaryHeap<Reverse<(MonotonicTime, u64)>>,
    pending: BTreeMap<u64, Event>,
    next_event: u64,
    now: MonotonicTime,
    latencies_us: Vec<u64>,
    failed: u32,
}

fn service() -> ServiceId {
    "tariffs".parse().expect("valid name")
}

fn zone(index: usize) -> String {
    format!("zone-{index}")
}

fn record(index: usize, zone_index: usize, has_server: bool) -> NodeRecord {
    let unused = "127.0.0.1:0".parse().expect("valid address");
    NodeRecord {
        id: format!("node-{index:03}").parse().expect("valid name"),
        zone: zone(zone_index).parse().expect("valid name"),
        addresses: NodeAddresses {
            peer: unused,
            control: unused,
            probe: unused,
        },
        incarnation: Incarnation(1),
        condition: NodeCondition::Alive,
        server: has_server.then(|| ServerRecord {
            service: service(),
            slots: SlotCount(SLOTS),
            connections: ConnectionCount(100),
        }),
    }
}

impl Fleet {
    fn new(way: Way, nodes: usize, speeds: &[f64], zone_of: impl Fn(usize) -> usize) -> Self {
        let records: Vec<_> = (0..nodes)
            .map(|index| record(index, zone_of(index), index < speeds.len()))
            .collect();
        let ids: Vec<_> = records.iter().map(|record| record.id.clone()).collect();
        let front = |index: usize| {
            let seed = index as u64 + 1;
            let mut table = LoadTable::default();
            table.set_nodes(&ids[index], &ids);
            Front {
                router: Router::new(records[index].zone.clone(), seed, MonotonicTime(0)),
                table,
            }
        };
        let server = |speed: &f64| Server {
            speed: *speed,
            running: 0,
            waiting: VecDeque::new(),
            held: ServiceTime::default(),
            given_us: 0.0,
            fails: false,
        };
        Self {
            way,
            random: SmallRng::seed_from_u64(1),
            fronts: (0..nodes).map(front).collect(),
            members: MemberTable::new(records.iter().cloned()),
            ids,
            servers: speeds.iter().map(server).collect(),
            events: BinaryHeap::new(),
            pending: BTreeMap::new(),
            next_event: 0,
            now: MonotonicTime(0),
            latencies_us: Vec::new(),
            failed: 0,
        }
    }

    /// Offers `per_s` requests at random nodes until `until_s`.
    fn run(&mut self, per_s: f64, until_s: u64) {
        if self.events.is_empty() {
            self.schedule(Duration::ZERO, Event::Arrival);
        }
        let until = MonotonicTime(until_s * 1_000_000);
        while let Some(Reverse((at, number))) = self.events.peek().copied()
            && at < until
        {
            self.events.pop();
            self.now = at;
            match self.pending.remove(&number) {
                Some(Event::Arrival) => {
                    let pause_s = -self.random.random::<f64>().ln() / per_s;
                    self.schedule(Duration::from_secs_f64(pause_s), Event::Arrival);
                    let front = self.random.random_range(0..self.fronts.len());
                    self.send(front);
                }
                Some(Event::End { server, job }) => self.end(server, &job),
                None => {}
            }
        }
    }

    fn schedule(&mut self, delay: Duration, event: Event) {
        self.events
            .push(Reverse((self.now.after(delay), self.next_event)));
        self.pending.insert(self.next_event, event);
        self.next_event += 1;
    }

    /// Mean [`WORK_US`], and half of that as the standard deviation.
    fn draw_work_us(&mut self) -> f64 {
        let parts = (0..4).map(|_| -self.random.random::<f64>().ln());
        parts.sum::<f64>() * WORK_US / 4.0
    }

    fn own_load(&self, node: usize) -> Option<LoadReport> {
        let server = self.servers.get(node)?;
        Some(LoadReport {
            node: NodeKey::from(&self.ids[node]),
            age_ms: 0,
            slots: SLOTS,
            in_flight: server.busy(),
            waiting: 0,
            held_us: server.held.mean().as_micros() as u32,
            failed_percent: if server.fails { 100 } else { 0 },
            takes_per_s: None,
            floor: None,
        })
    }

    /// Carries loads with a message.
    fn pass_loads(&mut self, from: usize, to: usize) {
        let own = self.own_load(from);
        let table = &mut self.fronts[from].table;
        let reports = table.select(own, LOADS_PER_MESSAGE, self.now);
        self.fronts[to].table.merge(reports, self.now);
    }

    fn choose(&mut self, front: usize, tried: &[NodeId]) -> Option<usize> {
        if self.way == Way::AllQueues {
            let wait = |server: &Server| f64::from(server.busy() + 1) / server.speed;
            let servers = self.servers.iter().enumerate();
            let best = servers.min_by(|(_, a), (_, b)| wait(a).total_cmp(&wait(b)));
            return best.map(|(index, _)| index);
        }
        let own = self.own_load(front);
        let Front { router, table } = &mut self.fronts[front];
        let service = service();
        let ids = self
            .members
            .serving(&service)
            .iter()
            .map(|record| &record.id);
        let loads = table.of_nodes(ids, own.as_ref(), self.now);
        let context = ChooseContext {
            members: &self.members,
            zones: &BTreeMap::new(),
            excluded: tried,
            cross_zone_cost: Router::CROSS_ZONE_COST,
            loads: &loads,
            now: self.now,
        };
        let chosen = router.choose(&service, &context)?;
        self.ids.iter().position(|id| *id == chosen.id)
    }

    /// Sends a request from a node, to another server if one turns it away.
    fn send(&mut self, front: usize) {
        let mut tried = Vec::new();
        while let Some(server) = self.choose(front, &tried) {
            let id = self.ids[server].clone();
            self.fronts[front].table.record_sent(NodeKey::from(&id));
            self.fronts[front].router.record_start(&id);
            self.pass_loads(front, server);
            if tried.len() < TURNED_AWAY_MAX && self.is_busier(server) {
                self.pass_loads(server, front);
                let (router, now) = (&mut self.fronts[front].router, self.now);
                router.record_end(&id, CallOutcome::Cancelled, Duration::ZERO, now);
                tried.push(id);
                continue;
            }
            let work_us = self.draw_work_us();
            let job = Job {
                front,
                sent_at: self.now,
                arrived_at: self.now,
                work_us,
            };
            self.accept(server, job);
            return;
        }
    }

    fn is_busier(&self, server: usize) -> bool {
        let Some(own) = self.own_load(server).filter(|_| self.way == Way::Loads) else {
            return false;
        };
        let table = &self.fronts[server].table;
        let loads = table.of_nodes(&self.ids[..self.servers.len()], Some(&own), self.now);
        ServiceLoads::new(loads.iter().flatten()).is_busier(&own.load(Duration::ZERO))
    }

    fn accept(&mut self, index: usize, job: Job) {
        let server = &mut self.servers[index];
        if job.sent_at > WARM_UP {
            server.given_us += job.work_us / server.speed;
        }
        match server.running < WORKERS {
            true => self.start(index, job),
            false => server.waiting.push_back(job),
        }
    }

    fn start(&mut self, index: usize, job: Job) {
        let server = &mut self.servers[index];
        server.running += 1;
        let time_us = match server.fails {
            true => 1_000.0,
            false => job.work_us / server.speed,
        };
        let end = Event::End { server: index, job };
        self.schedule(Duration::from_micros(time_us as u64), end);
    }

    fn end(&mut self, index: usize, job: &Job) {
        let server = &mut self.servers[index];
        server.running -= 1;
        let held = self.now.since(job.arrived_at);
        let outcome = match server.fails {
            true => CallOutcome::Failed,
            false => CallOutcome::Answered,
        };
        match outcome {
            CallOutcome::Answered => server.held.observe(held),
            _ => self.failed += u32::from(job.sent_at > WARM_UP),
        }
        if let Some(next) = server.waiting.pop_front() {
            self.start(index, next);
        }
        self.pass_loads(index, job.front);
        let latency = self.now.since(job.sent_at);
        let router = &mut self.fronts[job.front].router;
        router.record_end(&self.ids[index], outcome, latency, self.now);
        if job.sent_at > WARM_UP {
            self.latencies_us.push(latency.as_micros() as u64);
        }
    }

    fn p99_ms(&mut self) -> u64 {
        self.latencies_us.sort_unstable();
        self.latencies_us[self.latencies_us.len() * 99 / 100] / 1_000
    }

    /// Returns the part of its capacity that a server was given.
    fn part_of(&self, server: usize) -> f64 {
        let time_us = self.now.since(WARM_UP).as_micros() as f64;
        self.servers[server].given_us / (time_us * WORKERS as f64)
    }

    /// Returns the mean part of their capacity that the servers of some speeds were given.
    fn offered(&self, speeds: Range<f64>) -> f64 {
        let has_speed = |index: &usize| speeds.contains(&self.servers[*index].speed);
        let parts: Vec<_> = (0..self.servers.len())
            .filter(has_speed)
            .map(|index| self.part_of(index))
            .collect();
        parts.iter().sum::<f64>() / parts.len() as f64
    }
}

/// Speeds of 27 servers of which one in four is slow.
fn unequal() -> Vec<f64> {
    [0.55, 1.2, 1.2, 1.2].into_iter().cycle().take(27).collect()
}

/// Runs a fleet in three zones for 25 seconds at a part of its capacity.
fn run(way: Way, nodes: usize, speeds: &[f64], part: f64, zone_of: fn(usize) -> usize) -> Fleet {
    let mut fleet = Fleet::new(way, nodes, speeds, zone_of);
    fleet.run(part * capacity_per_s(speeds), 25);
    fleet
}

fn capacity_per_s(speeds: &[f64]) -> f64 {
    speeds.iter().sum::<f64>() * WORKERS as f64 * 1e6 / WORK_US
}

const SLOW: Range<f64> = 0.0..1.0;
const FAST: Range<f64> = 1.0..2.0;

fn unequal_servers_are_used_alike(nodes: usize) {
    let mut best = run(Way::AllQueues, nodes, &unequal(), 0.87, |index| index % 3);
    let mut fleet = run(Way::Loads, nodes, &unequal(), 0.87, |index| index % 3);
    let (slow, fast) = (fleet.offered(SLOW), fleet.offered(FAST));
    let (p99_ms, best_ms) = (fleet.p99_ms(), best.p99_ms());
    let figures = format!("{slow:.2} and {fast:.2}, p99 {p99_ms} ms, at best {best_ms} ms");
    assert!((slow - fast).abs() < 0.1, "{figures}");
    assert!(p99_ms < 2 * best_ms, "{figures}");
}

// Servers of which one in four has half the speed, at a load near their capacity: of 83 nodes, each sees
// too little of a server to know it by its own requests.
#[test]
fn unequal_servers_are_used_alike_by_83_nodes() {
    unequal_servers_are_used_alike(83);
}

// The same for a fleet of 300 nodes.
#[test]
fn unequal_servers_are_used_alike_by_300_nodes() {
    unequal_servers_are_used_alike(300);
}

// A zone with a third of the requests and one server of six, and one with half of the servers.
#[test]
fn zone_with_few_servers_sheds_its_excess_to_the_others() {
    let zone_of = |index: usize| match index {
        0..2 => 0,
        2..5 => 1,
        5 => 2,
        _ => index % 3,
    };
    let mut fleet = run(Way::Loads, 83, &[1.0; 6], 0.8, zone_of);
    let parts: Vec<_> = (0..6).map(|index| fleet.part_of(index)).collect();
    let p99_ms = fleet.p99_ms();
    let figures = format!("{parts:.2?}, p99 {p99_ms} ms");
    assert!(
        parts.iter().all(|part| (0.72..0.95).contains(part)),
        "{figures}"
    );
    assert!(p99_ms < 500, "{figures}");
}

// A server that turns slow by twelve times while its health probes succeed.
#[test]
fn server_that_turns_slow_is_not_overrun() {
    let mut fleet = Fleet::new(Way::Loads, 83, &[1.0; 27], |index| index % 3);
    let per_s = 0.7 * capacity_per_s(&[1.0; 27]);
    fleet.run(per_s, 6);
    fleet.servers[0].speed = 1.0 / 12.0;
    fleet.servers[0].given_us = 0.0;
    fleet.run(per_s, 25);
    let (part, p99_ms) = (fleet.part_of(0), fleet.p99_ms());
    assert!(part < 1.3, "{part}");
    assert!(p99_ms < 2_000, "{p99_ms} ms");
}

// A server that fails at once: it has few requests in flight, and would seem idle.
#[test]
fn failing_server_does_not_seem_idle() {
    let mut fleet = Fleet::new(Way::Loads, 83, &[1.0; 27], |index| index % 3);
    fleet.servers[0].fails = true;
    fleet.run(0.7 * capacity_per_s(&[1.0; 27]), 15);
    let failed = f64::from(fleet.failed) / fleet.latencies_us.len() as f64;
    assert!(failed < 0.01, "{failed:.4} failed");
}

/// Lets 83 nodes choose once among nine servers by the same reports, `age_ms` old. The first server was
/// idle, the others had eight requests each. Returns how many chose the first.
fn choices_of_the_idle_one(age_ms: u32) -> usize {
    let mut fleet = Fleet::new(Way::Loads, 83, &[1.0; 9], |_| 0);
    fleet.now = MonotonicTime(10_000_000);
    let report = |index: usize| LoadReport {
        age_ms,
        in_flight: if index == 0 { 0 } else { 8 },
        held_us: 85_000,
        ..fleet.own_load(index).expect("it has a server")
    };
    let reports: Vec<_> = (0..9).map(report).collect();
    let now = fleet.now;
    for front in &mut fleet.fronts {
        front.table.merge(reports.clone(), now);
    }
    (9..83)
        .filter(|front| fleet.choose(*front, &[]) == Some(0))
        .count()
}

// Many nodes that have the same old view must not all run to the server that was idle then. A node that
// died with an idle server leaves such a report behind.
#[test]
fn old_reports_draw_no_crowd() {
    let counts = [0, 100, 400, 1_500, 5_000].map(choices_of_the_idle_one);
    let even = 74 / 9;
    assert!(counts[0] > even, "{counts:?}");
    assert!(
        counts[2..].iter().all(|count| *count < 2 * even),
        "{counts:?}"
    );
}

// A node that has just started knows no loads, and neither must gather its requests at one server.
#[test]
fn node_without_any_report_spreads_its_requests() {
    let mut fleet = Fleet::new(Way::Loads, 12, &[1.0; 6], |index| index % 2);
    fleet.now = MonotonicTime(10_000_000);
    let mut counts = [0; 6];
    for _ in 0..300 {
        let chosen = fleet.choose(10, &[]).expect("there are servers");
        counts[chosen] += 1;
    }
    assert_eq!(
        counts.iter().skip(1).step_by(2).sum::<i32>(),
        0,
        "{counts:?}"
    );
    assert!(
        counts.iter().step_by(2).all(|count| *count > 60),
        "{counts:?}"
    );
}
