//! A loop that runs call trees by the decision code of the gates and of the door, in virtual time.
//!
//! Only the last service of three is bounded. A lookup takes 85 ms at the first one, and then calls
//! the last one eight times in sequence, each time by a node of the second one, 15 ms after each other;
//! a read calls the last one only. A call that is refused is sent to other servers as often as a relay
//! does.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::time::Duration;

use balsamfold::process::gate::AdaptiveLimit;
use balsamfold::process::gate::AdmissionDecision;
use balsamfold::process::gate::AdmissionRequest;
use balsamfold::process::gate::Completion;
use balsamfold::process::gate::CompletionOutcome;
use balsamfold::process::gate::DownstreamFloors;
use balsamfold::process::gate::GateState;
use balsamfold::process::gate::ServerLoad;
use balsamfold::process::gate::ServiceFloor;
use balsamfold::process::gate::SpentTime;
use balsamfold::process::gate::Ticket;
use balsamfold::process::gate::TreePart;
use balsamfold::process::gate::Wakeups;
use balsamfold::process::load::LoadTable;
use balsamfold::process::load::NodeKey;
use balsamfold::process::relay::refusing_nodes_max;
use balsamfold::values::Importance;
use balsamfold::values::MonotonicTime;
use balsamfold::values::NodeId;
use balsamfold::values::OrganisationId;
use balsamfold::values::RatePerSecond;
use balsamfold::values::RequestId;
use balsamfold::values::SlotCount;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const SERVERS: usize = 8;
const SLOTS: u32 = 22;
const NODES: usize = 83;
const FRONT_NODES: usize = 27;
const MIDDLE_NODES: usize = 10;
const ORGANISATIONS: u32 = 84;
const IMPORTANCE: Importance = Importance(100);
/// Interval in which a node hears of some servers, by the messages that it exchanges.
const REPORT_INTERVAL_US: u64 = 100_000;
const REPORTS: usize = 4;

/// How the gates and the doors decide.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Control {
    /// Floors come with the answers to the node's own requests.
    Answers,
    /// Floors come with load reports, and trees that have begun are finished.
    WholeTrees,
}

/// Counts of one kind of request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counts {
    pub sent: u32,
    pub begun: u32,
    pub served: u32,
    /// Time of slots that the served ones needed, in milliseconds.
    pub work_ms: u32,
    /// Ended after a run had begun.
    pub failed: u32,
}

impl Counts {
    pub fn served_share(&self) -> f64 {
        f64::from(self.served) / f64::from(self.sent.max(1))
    }

    /// The runs that end badly, as a share of those that begin.
    pub fn failed_share(&self) -> f64 {
        f64::from(self.failed) / f64::from(self.begun.max(1))
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Kind {
    Lookup,
    Read,
}

impl Kind {
    fn route(self) -> &'static str {
        match self {
            Self::Lookup => "lookup",
            Self::Read => "read",
        }
    }

    /// The route of its calls at the last service, and their mean work.
    fn call(self) -> (&'static str, f64) {
        match self {
            Self::Lookup => ("ref", 25e3),
            Self::Read => ("read", 350e3),
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Tree {
    kind: Kind,
    node: usize,
    root: RequestId,
    organisation: u32,
    middle: usize,
    begun_at: u64,
    calls_left: u32,
    refusals: usize,
    tried: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    Report,
    Call {
        tree: usize,
    },
    Done {
        tree: usize,
        server: usize,
        since: u64,
    },
    Late {
        server: usize,
        ticket: Ticket,
    },
}

pub struct Loop {
    control: Control,
    pub now: u64,
    count: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    gates: Vec<GateState>,
    ids: Vec<NodeId>,
    waiting: HashMap<(usize, Ticket), usize>,
    trees: Vec<Tree>,
    tables: Vec<LoadTable>,
    answers: Vec<DownstreamFloors>,
    /// The floors that the nodes of the second service know of the last one.
    onward: Vec<DownstreamFloors>,
    per_s: fn(f64) -> f64,
    random: SmallRng,
    pub counts: HashMap<Kind, Counts>,
}

fn organisation(number: u32) -> OrganisationId {
    format!("organisation-{number}").parse().unwrap()
}

fn time(us: u64) -> MonotonicTime {
    MonotonicTime(us + 10_000_000)
}

impl Loop {
    /// Creates a loop in which the work offered at `seconds` is `load(seconds)` of the capacity.
    pub fn new(control: Control, load: fn(f64) -> f64, seed: u64) -> Self {
        let ids: Vec<NodeId> = (0..SERVERS)
            .map(|at| format!("server-{at}").parse().unwrap())
            .collect();
        let gate = || {
            let limit = AdaptiveLimit::fixed(SlotCount(SLOTS), time(0));
            let gate = GateState::new(limit, time(0));
            match control {
                Control::Answers => gate,
                Control::WholeTrees => gate.with_whole_trees(time(0)),
            }
        };
        let mut table = LoadTable::default();
        table.set_nodes(&"door".parse().unwrap(), &ids);
        let mut this = Self {
            control,
            now: 0,
            count: 0,
            events: BinaryHeap::new(),
            gates: (0..SERVERS).map(|_| gate()).collect(),
            ids,
            waiting: HashMap::new(),
            trees: Vec::new(),
            tables: vec![table; NODES],
            answers: vec![DownstreamFloors::default(); NODES],
            onward: vec![DownstreamFloors::default(); MIDDLE_NODES],
            per_s: load,
            random: SmallRng::seed_from_u64(seed),
            counts: HashMap::new(),
        };
        this.schedule(0, Event::Arrive);
        this.schedule(0, Event::Report);
        this
    }

    fn schedule(&mut self, after: u64, event: Event) {
        self.count += 1;
        let entry = (self.now + after, self.count, event);
        self.events.push(Reverse(entry));
    }

    /// Runs until `seconds`, and returns the counts of the requests that were sent since `from`.
    pub fn run(&mut self, from: f64, seconds: f64) -> HashMap<Kind, Counts> {
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at as f64 >= seconds * 1e6 {
                self.schedule(0, event);
                break;
            }
            if (self.now as f64) < from * 1e6 && at as f64 >= from * 1e6 {
                self.counts.clear();
            }
            self.now = at;
            match event {
                Event::Arrive => self.arrive(),
                Event::Report => self.report(),
                Event::Call { tree } => self.call(tree),
                Event::Done {
                    tree,
                    server,
                    since,
                } => self.done(tree, server, since),
                Event::Late { server, ticket } => self.late(server, ticket),
            }
        }
        self.counts.clone()
    }

    fn of(&mut self, kind: Kind) -> &mut Counts {
        self.counts.entry(kind).or_default()
    }

    /// Lookups and reads come 46 to 11.
    fn arrive(&mut self) {
        let work_us = (46.0 * 8.0 * 25e3 + 11.0 * 350e3) / 57.0;
        let capacity_us = (SERVERS as u32 * SLOTS) as f64 * 1e6;
        let per_s = (self.per_s)(self.now as f64 / 1e6) * capacity_us / work_us;
        let gap = -self.random.random::<f64>().max(1e-9).ln() / per_s;
        self.schedule((gap * 1e6) as u64, Event::Arrive);
        let kind = match self.random.random_ratio(46, 57) {
            true => Kind::Lookup,
            false => Kind::Read,
        };
        let tree = Tree {
            kind,
            node: self.random.random_range(0..NODES),
            root: RequestId(self.random.random()),
            // Some are large.
            organisation: self
                .random
                .random_range(0..ORGANISATIONS)
                .min(self.random.random_range(0..ORGANISATIONS)),
            middle: 0,
            begun_at: self.now,
            calls_left: 8,
            refusals: 0,
            tried: 0,
        };
        self.of(kind).sent += 1;
        if !self.passes_door(&tree) {
            return;
        }
        self.trees.push(tree);
        let tree = self.trees.len() - 1;
        match kind {
            Kind::Lookup => {
                self.of(kind).begun += 1;
                self.schedule(100_000, Event::Call { tree });
            }
            Kind::Read => self.call(tree),
        }
    }

    fn passes_door(&mut self, tree: &Tree) -> bool {
        let now = time(self.now);
        let organisation = organisation(tree.organisation);
        let doors = &mut self.answers[tree.node];
        let admission = match self.control {
            Control::Answers => {
                let organisation = Some(&organisation);
                doors.check(tree.kind.route(), IMPORTANCE, organisation, tree.root, now)
            }
            Control::WholeTrees => {
                let known = self.tables[tree.node].known(now);
                let loads: Vec<_> = known
                    .map(|known| ServerLoad::from(known.report()))
                    .collect();
                let floor = ServiceFloor::of(loads.into_iter()).unwrap_or_default();
                let floor = floor.floor_for(Some(&organisation));
                doors.check_known(tree.kind.route(), floor, IMPORTANCE, tree.root, now)
            }
        };
        admission.into_result().is_ok()
    }

    /// Each node hears of some servers; each gate learns of the floor of its service.
    fn report(&mut self) {
        self.schedule(REPORT_INTERVAL_US, Event::Report);
        if self.control == Control::Answers {
            return;
        }
        let now = time(self.now);
        let reports: Vec<_> = (self.gates.iter_mut().zip(&self.ids))
            .map(|(gate, id)| gate.load_report(NodeKey::from(id), now))
            .collect();
        for table in &mut self.tables {
            let heard = (0..REPORTS)
                .map(|_| reports[self.random.random_range(0..SERVERS)].clone())
                .collect();
            table.merge(heard, now);
        }
        let floor = ServiceFloor::of(reports.iter().map(ServerLoad::from)).unwrap_or_default();
        for gate in &mut self.gates {
            gate.set_service_floor(floor.notice());
        }
    }

    /// Sends a call to the less loaded of two servers.
    fn call(&mut self, tree: usize) {
        let now = time(self.now);
        let open: Vec<_> = (0..SERVERS)
            .filter(|at| self.trees[tree].tried & (1 << at) == 0)
            .collect();
        let mut draw = || open[self.random.random_range(0..open.len())];
        let (a, b) = (draw(), draw());
        let busy = |at: usize| self.gates[at].in_flight() as usize + self.gates[at].waiting();
        let server = if busy(a) <= busy(b) { a } else { b };
        self.trees[tree].tried |= 1 << server;
        if self.control == Control::Answers && !self.passes_middle(tree) {
            return;
        }
        let known = self.trees[tree];
        let (route, _) = known.kind.call();
        let (remaining, spent) = match known.kind {
            Kind::Lookup => (Duration::from_millis(700), self.now - known.begun_at),
            Kind::Read => (Duration::from_millis(2_500), 0),
        };
        let request = AdmissionRequest {
            importance: IMPORTANCE,
            organisation: Some(organisation(known.organisation)),
            rate: RatePerSecond(20),
            root: known.root,
            remaining,
        };
        let spent = SpentTime((spent / 1_000) as u32);
        let part = TreePart { route, spent };
        let (decision, displaced) = match self.control {
            Control::Answers => self.gates[server].acquire(&request, now),
            Control::WholeTrees => self.gates[server].acquire_part(&request, part, now),
        };
        match decision {
            AdmissionDecision::Started => self.start(tree, server),
            AdmissionDecision::Refused(_) => self.refused(tree, Some(server)),
            AdmissionDecision::Waiting { ticket, start_by } => {
                self.waiting.insert((server, ticket), tree);
                let wait = start_by.since(now).as_micros() as u64;
                self.schedule(wait, Event::Late { server, ticket });
            }
        }
        if let Some(dropped) = displaced {
            self.dropped(server, dropped.ticket);
        }
    }

    /// A node of the second service refuses a call that the last one would refuse.
    fn passes_middle(&mut self, tree: usize) -> bool {
        let known = &mut self.trees[tree];
        if known.kind == Kind::Read {
            return true;
        }
        known.middle = self.random.random_range(0..MIDDLE_NODES);
        let (root, now) = (known.root, time(self.now));
        let organisation = organisation(known.organisation);
        let (route, _) = known.kind.call();
        let onward = &mut self.onward[known.middle];
        let admission = onward.check(route, IMPORTANCE, Some(&organisation), root, now);
        let passes = admission.into_result().is_ok();
        if !passes {
            self.refused(tree, None);
        }
        passes
    }

    fn start(&mut self, tree: usize, server: usize) {
        let kind = self.trees[tree].kind;
        if kind == Kind::Read {
            self.of(kind).begun += 1;
        }
        let (_, mean_us) = kind.call();
        let work = mean_us * self.random.random_range(0.5..1.5);
        let since = self.now;
        self.schedule(
            work as u64,
            Event::Done {
                tree,
                server,
                since,
            },
        );
    }

    fn done(&mut self, tree: usize, server: usize, since: u64) {
        let completion = Completion {
            outcome: CompletionOutcome::Answered,
            held: Duration::from_micros(self.now - since),
            onward: Duration::ZERO,
        };
        let kind = self.trees[tree].kind;
        let now = time(self.now);
        let (route, _) = kind.call();
        let gate = &mut self.gates[server];
        let work = gate.kind_of(route);
        let wakeups = gate.release_kind(&completion, work, now);
        self.woken(server, wakeups);
        let known = &mut self.trees[tree];
        known.calls_left -= 1;
        (known.refusals, known.tried) = (0, 0);
        let is_last = kind == Kind::Read || known.calls_left == 0;
        self.answer(tree, server);
        match is_last {
            true => {
                let counts = self.of(kind);
                counts.served += 1;
                counts.work_ms += match kind {
                    Kind::Lookup => 8 * 25,
                    Kind::Read => 350,
                };
                self.answer_caller(tree);
            }
            false => self.schedule(15_000, Event::Call { tree }),
        }
    }

    /// The floor of the server comes with its answer.
    fn answer(&mut self, tree: usize, server: usize) {
        let now = time(self.now);
        let notice = self.gates[server].floor(now);
        let known = &self.trees[tree];
        let floors = match known.kind {
            Kind::Lookup => &mut self.onward[known.middle],
            Kind::Read => &mut self.answers[known.node],
        };
        let (route, _) = known.kind.call();
        let service = "last".parse().unwrap();
        floors.learn(route, &service, &self.ids[server], notice, now);
    }

    /// The floor that a node of the second service knows comes with the answer of the first one.
    fn answer_caller(&mut self, tree: usize) {
        let now = time(self.now);
        let known = &self.trees[tree];
        if known.kind == Kind::Lookup {
            let notice = self.onward[known.middle].notice(known.kind.call().0, now);
            let front = self.random.random_range(0..FRONT_NODES);
            let front = format!("front-{front}").parse().unwrap();
            let service = "first".parse().unwrap();
            let doors = &mut self.answers[known.node];
            doors.learn(known.kind.route(), &service, &front, notice, now);
        }
    }

    fn woken(&mut self, server: usize, wakeups: Wakeups) {
        for ticket in wakeups.started {
            if let Some(tree) = self.waiting.remove(&(server, ticket)) {
                self.start(tree, server);
            }
        }
        for dropped in wakeups.dropped {
            self.dropped(server, dropped.ticket);
        }
    }

    fn late(&mut self, server: usize, ticket: Ticket) {
        if self.waiting.contains_key(&(server, ticket)) {
            let reason = balsamfold::request::RefusalReason::DeadlineExceeded;
            self.gates[server].abandon(ticket, reason, time(self.now));
            self.dropped(server, ticket);
        }
    }

    fn dropped(&mut self, server: usize, ticket: Ticket) {
        if let Some(tree) = self.waiting.remove(&(server, ticket)) {
            self.refused(tree, Some(server));
        }
    }

    fn refused(&mut self, tree: usize, server: Option<usize>) {
        if let Some(server) = server {
            self.answer(tree, server);
        }
        let known = &mut self.trees[tree];
        known.refusals += 1;
        let kind = known.kind;
        let is_call = kind == Kind::Lookup;
        if known.refusals < refusing_nodes_max(is_call) {
            self.schedule(2_000, Event::Call { tree });
        } else if is_call {
            self.of(kind).failed += 1;
            self.answer_caller(tree);
        }
    }
}
