//! The state that all requests of a relay share.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::sync::Weak;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use parking_lot::Mutex;
use parking_lot::RwLock;
use tokio::sync::Notify;
use tokio::sync::watch;

use super::backend::Backend;
use super::confirmation::Confirmation;
use super::confirmation::ConfirmationReport;
use super::confirmation::ConfirmationUse;
use super::evacuations::Evacuations;
use super::failing_servers::FailingServers;
use super::fleet::Fleet;
use super::frame::RequestMetadata;
use super::links::Links;
use super::metrics::RelayMetrics;
use super::peers::PeerConnections;
use super::protocol::Protocol;
use super::rates::new_rates;
use super::rates::rate_plan;
use super::registration::Registration;
use super::runs::RunTable;
use super::settings::BoundSettings;
use super::settings::RawRelaySettings;
use super::settings::RelaySettings;
use super::split::SplitState;
use super::stop_limit::StopLimit;
use super::store::SharedStore;
use super::store::StoreEra;
use super::suspects::SuspectState;
use super::tree_admission;
use super::tree_admission::TreeAdmission;
use super::views::ViewState;
use crate::connection::MemoryBudget;
use crate::process::events::relay as events;
use crate::process::gate::DownstreamFloors;
use crate::process::gate::FloorNotice;
use crate::process::load::LoadReport;
use crate::process::load::LoadTable;
use crate::process::load::NodeKey;
use crate::process::load::NodeLoad;
use crate::process::load::ServiceLoads;
use crate::process::membership::MemberTable;
use crate::process::membership::NodeAddresses;
use crate::process::membership::NodeCondition;
use crate::process::membership::NodeRecord;
use crate::process::membership::ServerRecord;
use crate::process::rates::FleetRates;
use crate::process::routing::Router;
use crate::process::suspects::Fingerprint;
use crate::request::FleetRetryBudget;
use crate::request::Refusal;
use crate::request::RefusalReason;
use crate::values::Clock;
use crate::values::ConnectionCount;
use crate::values::Incarnation;
use crate::values::MonotonicTime;
use crate::values::NodeId;
use crate::values::ServiceId;
use crate::values::ZoneId;
use crate::version::TrafficPlan;
use crate::version::ZoneRecord;

/// The state that all requests of a relay share.
///
/// Each lock is held for single steps only, never across an await, and never while another one is
/// acquired.
pub struct RelayNode {
    /// The settings as of the start, with the bound ports.
    pub settings: RelaySettings,
    /// The time limits in force, which may change while the relay runs.
    bounds: RwLock<BoundSettings>,
    /// The platform's protocol for callers, servers and the store.
    pub protocol: Protocol,
    /// The source of time.
    pub clock: Clock,
    /// The shared store.
    pub store: Arc<dyn SharedStore>,
    /// Counters and histograms.
    pub metrics: RelayMetrics,
    /// Bounds the bodies of all requests and responses that the process holds.
    pub memory: MemoryBudget,
    /// Connections to other nodes.
    pub(super) links: Arc<Links>,
    /// Connections that other nodes opened.
    pub(super) peer_connections: PeerConnections,
    /// Rates of organisations over the fleet.
    pub(super) rates: FleetRates,
    pub(super) fleet: Mutex<Fleet>,
    /// Whether the view of the fleet was read from the store since the start.
    pub(super) is_fleet_listed: watch::Sender<bool>,
    pub(super) registration: Mutex<Registration>,
    /// Whether the registration that an earlier process stored was read.
    pub(super) is_registration_read: AtomicBool,
    pub(super) splits: Mutex<SplitState>,
    pub(super) router: Mutex<Router>,
    /// What this node knows of the load of other nodes.
    pub(super) loads: Mutex<LoadTable>,
    /// The call trees of routes, and the floors of services.
    pub(super) whole_trees: Mutex<TreeAdmission>,
    /// Requests that run on the local backend server.
    pub(super) runs: RunTable,
    /// Requests that may crash backend servers.
    pub(super) suspects: SuspectState,
    /// Quarantined requests that the store is known to hold.
    pub(super) stored_quarantines: Mutex<HashSet<Fingerprint>>,
    /// Admission floors for requests of callers.
    pub(super) ingress_floors: Mutex<DownstreamFloors>,
    /// Nodes that refused requests because their servers fail often.
    pub(super) failing_servers: Mutex<FailingServers>,
    /// The zones that the operators evacuated.
    pub(super) evacuations: Mutex<Evacuations>,
    /// Admission floors for the onward calls of the local backend server.
    pub(super) onward_floors: Mutex<DownstreamFloors>,
    /// What this node knows of the store.
    pub(super) views: ViewState,
    /// Wakes the task that maintains the node's store entry.
    pub(super) store_entry_changed: Notify,
    pub(super) in_flight: AtomicU64,
    /// The zones of the fleet with their regions.
    pub(super) zones: BTreeMap<ZoneId, ZoneRecord>,
    started_ms: u64,
    started_at: MonotonicTime,
    plan: RwLock<Option<Arc<TrafficPlan>>>,
    members: RwLock<Arc<MemberTable>>,
    backend: RwLock<Option<Arc<Backend>>>,
    confirmation: Mutex<Confirmation>,
    retries: Mutex<HashMap<ServiceId, FleetRetryBudget>>,
    /// Whether this process has written its store entry.
    pub(super) is_entry_written: AtomicBool,
    is_stopping: AtomicBool,
    /// Whether a planned stop has reached the point from which on no new request runs on the local
    /// backend server.
    is_withdrawn: AtomicBool,
    pub(super) stop_limit: StopLimit,
}

impl RelayNode {
    /// Creates a node without a configuration or a backend server.
    pub fn new(
        settings: RelaySettings,
        protocol: Protocol,
        store: Arc<dyn SharedStore>,
    ) -> Arc<Self> {
        Arc::new_cyclic(|node| Self::new_in(node, settings, protocol, store))
    }

    fn new_in(
        node: &Weak<Self>,
        settings: RelaySettings,
        protocol: Protocol,
        store: Arc<dyn SharedStore>,
    ) -> Self {
        let clock = Clock::start();
        let zones = settings.raw.zones.iter().map(|(zone, region)| {
            let record = ZoneRecord {
                id: zone.clone(),
                region: region.clone(),
                rate_weight: 1,
            };
            (zone.clone(), record)
        });
        let started_ms = clock.wall().0;
        let views = ViewState::default();
        let memory = MemoryBudget::of_process(settings.memory_limit_bytes());
        Self {
            zones: zones.collect(),
            rates: new_rates(node, &settings.raw, clock, Arc::clone(&store)),
            links: Arc::new(Links::new(
                settings.raw.node.clone(),
                clock,
                Arc::clone(&views.update_notice),
                memory.clone(),
            )),
            peer_connections: PeerConnections::default(),
            memory,
            views,
            suspects: SuspectState::new(settings.raw.node.clone()),
            stored_quarantines: Mutex::default(),
            is_fleet_listed: watch::Sender::new(false),
            router: Mutex::new(Router::new(
                settings.raw.zone.clone(),
                rand::random(),
                clock.now(),
            )),
            loads: Mutex::default(),
            whole_trees: Mutex::default(),
            bounds: RwLock::new(settings.raw.bounds.clone()),
            settings,
            protocol,
            store,
            metrics: RelayMetrics::new(),
            runs: RunTable::new(clock),
            ingress_floors: Mutex::default(),
            failing_servers: Mutex::default(),
            evacuations: Mutex::default(),
            onward_floors: Mutex::default(),
            fleet: Mutex::default(),
            registration: Mutex::default(),
            is_registration_read: AtomicBool::new(false),
            splits: Mutex::default(),
            store_entry_changed: Notify::new(),
            in_flight: AtomicU64::new(0),
            started_ms,
            started_at: clock.now(),
            plan: RwLock::default(),
            members: RwLock::default(),
            backend: RwLock::default(),
            confirmation: Mutex::default(),
            retries: Mutex::default(),
            is_entry_written: AtomicBool::new(false),
            is_stopping: AtomicBool::new(false),
            is_withdrawn: AtomicBool::new(false),
            stop_limit: StopLimit::default(),
            clock,
        }
    }

    /// Returns the time limits in force.
    pub fn bounds(&self) -> BoundSettings {
        self.bounds.read().clone()
    }

    /// Applies the time limits of changed settings, and logs whether other changes need a restart.
    pub fn reload(&self, changed: RelaySettings) {
        let RawRelaySettings { bounds, .. } = &changed.raw;
        let fixed_before = RawRelaySettings {
            bounds: bounds.clone(),
            ..self.settings.raw.clone()
        };
        let needs_restart = fixed_before != changed.raw;
        *self.bounds.write() = bounds.clone();
        events::SETTINGS_RELOADED.log(format_args!("other_changes_need_start={needs_restart}"));
    }

    /// Returns the configuration in force.
    pub fn plan(&self) -> Option<Arc<TrafficPlan>> {
        self.plan.read().clone()
    }

    /// Puts `plan` in force unless the one in force is as new. Returns whether it did.
    pub fn offer_plan(&self, plan: TrafficPlan) -> bool {
        let version = plan.version;
        let mut current = self.plan.write();
        if current
            .as_ref()
            .is_some_and(|known| known.version >= version)
        {
            return false;
        }
        let plan = Arc::new(plan);
        *current = Some(Arc::clone(&plan));
        drop(current);
        self.confirmation.lock().adopt(version);
        let rate_plan = rate_plan(&plan, self.zones.keys());
        self.rates.configure(&Arc::new(rate_plan));
        events::CONFIGURATION_IN_FORCE.log(format_args!("version={version}"));
        true
    }

    /// Records that the configuration in force was the newest at `requested_at`, by a response of
    /// the store in `era`.
    pub(super) fn confirm(&self, requested_at: MonotonicTime, era: StoreEra) {
        if let Some(plan) = self.plan() {
            let mut confirmation = self.confirmation.lock();
            let must_ask = confirmation.confirm(plan.version, requested_at, era);
            drop(confirmation);
            if must_ask {
                self.views.update_notice.notify_one();
            }
        }
    }

    /// Returns whether other nodes are to be asked for newer configurations than the store has.
    pub(super) fn must_ask_others(&self, era: StoreEra) -> bool {
        self.confirmation.lock().must_ask(era)
    }

    /// Records that other nodes were asked for newer configurations, and whether any replied.
    pub(super) fn others_asked(&self, era: StoreEra, have_replied: bool) {
        self.confirmation.lock().others_asked(era, have_replied);
    }

    /// Returns whether no other node named a newer configuration than the one in force.
    pub(super) fn knows_newest(&self) -> bool {
        self.confirmation.lock().knows_newest()
    }

    /// Returns whether the last read of the configuration counts.
    pub(super) fn is_settled(&self) -> bool {
        self.confirmation.lock().is_settled()
    }

    /// Applies the report that node `from` sent for a request of `requested_at`. If it names a newer
    /// version, that node is asked for it.
    pub(super) fn apply_confirmation_report(
        &self,
        report: ConfirmationReport,
        requested_at: MonotonicTime,
        from: &NodeId,
    ) {
        let now = self.clock.now();
        let used = self
            .confirmation
            .lock()
            .apply_report(report, requested_at, now);
        if used == ConfirmationUse::NewerVersion {
            *self.views.newer_at.lock() = Some(from.clone());
            self.views.update_notice.notify_one();
        }
    }

    /// Returns this node's report on the configuration for other nodes.
    pub(super) fn confirmation_report(&self) -> ConfirmationReport {
        self.confirmation.lock().report(self.clock.now())
    }

    /// Returns the time since the configuration in force was certainly the newest.
    pub fn confirmation_age(&self) -> Option<Duration> {
        self.confirmation.lock().age(self.clock.now())
    }

    /// Returns whether requests with keys may run.
    pub fn accepts_keys(&self) -> bool {
        match self.bounds.read().key_confirmation_max() {
            Some(limit) => self.confirmation_age().is_some_and(|age| age < limit),
            None => true,
        }
    }

    /// Returns the time since this process started.
    pub(super) fn uptime(&self) -> Duration {
        self.clock.now().since(self.started_at)
    }

    /// Returns the view of the fleet.
    pub fn members(&self) -> Arc<MemberTable> {
        Arc::clone(&self.members.read())
    }

    /// Waits until the view of the fleet was read once.
    pub(super) async fn wait_until_fleet_is_listed(&self) {
        let mut is_listed = self.is_fleet_listed.subscribe();
        // The sender lives as long as this node.
        let _ = is_listed.wait_for(|listed| *listed).await;
    }

    /// Publishes the current view of the fleet.
    pub(super) fn publish_fleet(&self) {
        let table = self.fleet.lock().table();
        let count = table.nodes().count();
        let ids = table.nodes().map(|record| &record.id);
        self.loads.lock().set_nodes(&self.settings.raw.node, ids);
        *self.members.write() = Arc::new(table);
        events::FLEET_CHANGED.log(format_args!("nodes={count}"));
    }

    pub(super) fn backend(&self) -> Option<Arc<Backend>> {
        self.backend.read().clone()
    }

    /// Replaces the local backend server, and wakes the task that maintains the store entry.
    pub(super) fn set_backend(&self, backend: Option<Arc<Backend>>) {
        *self.backend.write() = backend;
        self.store_entry_changed.notify_one();
    }

    /// Returns the record of this node for its store entry.
    pub(super) fn own_record(&self) -> NodeRecord {
        let raw = &self.settings.raw;
        let backend = self.backend();
        let condition = match self.is_stopping() {
            true => NodeCondition::Leaving,
            false => NodeCondition::Alive,
        };
        let serving = backend
            .as_ref()
            .filter(|backend| backend.accepts_work() && self.offers_server());
        NodeRecord {
            id: raw.node.clone(),
            zone: raw.zone.clone(),
            addresses: NodeAddresses {
                peer: raw.listen.peers,
                control: raw.listen.peers,
                probe: raw.listen.peers,
            },
            incarnation: backend
                .as_ref()
                .map_or(Incarnation(self.started_ms), |backend| backend.incarnation),
            condition,
            server: serving.map(|backend| ServerRecord {
                service: raw.service.clone(),
                slots: backend.slots,
                connections: ConnectionCount(backend.slots.0),
            }),
        }
    }

    /// Returns whether a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::Relaxed)
    }

    /// Begins a planned stop that ends all open requests after `limit`.
    pub(super) fn begin_stop(&self, limit: Duration) {
        self.stop_limit.start(self.clock.now(), limit);
        self.is_stopping.store(true, Ordering::Relaxed);
        self.store_entry_changed.notify_one();
    }

    /// Returns whether new requests may run on the local backend server, as far as this node decides.
    pub(super) fn offers_server(&self) -> bool {
        !self.is_withdrawn.load(Ordering::Relaxed)
    }

    /// Withdraws the local backend server from the fleet, and refuses the requests that wait for it.
    pub(super) fn withdraw_server(&self) {
        self.is_withdrawn.store(true, Ordering::Relaxed);
        if let Some(backend) = self.backend() {
            backend.gate.drop_waiting(RefusalReason::Draining);
        }
        self.store_entry_changed.notify_one();
    }

    /// Returns whether callers should send requests to this node.
    pub fn is_ready(&self) -> bool {
        !self.is_stopping() && self.plan().is_some() && self.accepts_keys()
    }

    /// Returns whether this node grants the tokens of its zone.
    pub fn holds_rates(&self) -> bool {
        self.rates.service.is_holder()
    }

    /// Returns the highest floor of this node's gate and the downstream nodes.
    pub(super) fn floor(&self, route: &str) -> Option<FloorNotice> {
        let backend = self.backend()?;
        let downstream = self.onward_floors.lock().notice(route, self.clock.now());
        Some(backend.gate.floor().merge(downstream))
    }

    /// Returns the load of the local backend server, if it accepts work.
    pub(super) fn own_load(&self) -> Option<LoadReport> {
        let backend = self.backend()?;
        let is_offered = backend.accepts_work() && self.offers_server();
        let key = NodeKey::from(&self.settings.raw.node);
        is_offered.then(|| LoadReport {
            failed_percent: backend.failed_percent(self.clock.now()),
            ..backend.gate.load_report(key)
        })
    }

    /// Returns the loads to send with a message to another node. There are none unless the settings
    /// tell how many.
    pub(super) fn known_loads(&self) -> Vec<LoadReport> {
        let Some(settings) = &self.settings.raw.load_reports else {
            return Vec::new();
        };
        let own = self.own_load();
        let now = self.clock.now();
        let count = settings.per_message.into();
        self.loads.lock().select(own, count, now)
    }

    /// Returns what is known of the loads of the nodes that serve `service`, in the order of `members`.
    /// It is empty unless the settings tell how many loads go with a message.
    pub(super) fn service_loads(
        &self,
        members: &MemberTable,
        service: &ServiceId,
    ) -> Vec<Option<NodeLoad>> {
        if self.settings.raw.load_reports.is_none() {
            return Vec::new();
        }
        let own = self.own_load();
        let now = self.clock.now();
        let ids = members.serving(service).iter().map(|record| &record.id);
        self.loads.lock().of_nodes(ids, own.as_ref(), now)
    }

    /// Sets the gauges of the known loads.
    pub(super) fn update_load_gauges(&self) {
        let now = self.clock.now();
        let age = self.loads.lock().mean_age(now);
        let loads = self.service_loads(&self.members(), &self.settings.raw.service);
        let spread = ServiceLoads::new(loads.iter().flatten()).spread(loads.iter().flatten());
        self.metrics.set_known_loads(age, spread);
    }

    /// Refuses a request to the local backend server if others of its service have much less to do.
    pub(super) fn check_load(&self, metadata: &RequestMetadata) -> Result<(), Refusal> {
        if !metadata.may_turn_away {
            return Ok(());
        }
        let own = self.own_load().map(|own| own.load(Duration::ZERO));
        let Some(own) = own.filter(|own| !ServiceLoads::is_surely_not_busier(own)) else {
            return Ok(());
        };
        let members = self.members();
        let loads = self.service_loads(&members, &self.settings.raw.service);
        let others = ServiceLoads::new(loads.iter().flatten());
        match others.is_busier(&own) {
            false => Ok(()),
            true => {
                self.metrics.record_turned_away();
                events::TURNED_AWAY.log(format_args!(
                    "request={} route={} busy={} slots={} usual={:.1}",
                    metadata.request_id,
                    metadata.route,
                    own.busy,
                    own.slots,
                    others.usual_requests(&own)
                ));
                Err(Refusal::not_run(RefusalReason::BusierThanOthers))
            }
        }
    }

    /// Records the loads that came with a message from another node.
    pub(super) fn learn_loads(&self, reports: Vec<LoadReport>) {
        if !reports.is_empty() {
            self.loads.lock().merge(reports, self.clock.now());
        }
    }

    /// Refuses a request to the local backend server whose onward calls would be refused.
    pub(super) fn check_onward(&self, metadata: &RequestMetadata) -> Result<(), Refusal> {
        match tree_admission::is_on(self) && tree_admission::is_known(self, metadata) {
            true => Ok(()),
            false => self.check_floors(&self.onward_floors, metadata),
        }
    }

    /// Refuses a request of a caller that the downstream services would refuse.
    pub(super) fn check_ingress(&self, metadata: &RequestMetadata) -> Result<(), Refusal> {
        let by_tree = match tree_admission::is_on(self) {
            true => tree_admission::check(self, metadata),
            false => None,
        };
        by_tree.unwrap_or_else(|| self.check_floors(&self.ingress_floors, metadata))
    }

    fn check_floors(
        &self,
        floors: &Mutex<DownstreamFloors>,
        metadata: &RequestMetadata,
    ) -> Result<(), Refusal> {
        let organisation = metadata.organisation.as_ref();
        let now = self.clock.now();
        let admission = floors.lock().check(
            &metadata.route,
            metadata.importance,
            organisation,
            metadata.root,
            now,
        );
        admission.into_result()
    }

    /// Counts a request for `service` that is a repeat because its parent is one.
    pub(super) fn count_repeat(&self, service: &ServiceId) {
        let (bound, now) = (self.bounds.read().retry_bound(), self.clock.now());
        self.with_retries(service, |budget| budget.record_retry(&bound, now));
    }

    /// Counts the first attempt at a request for `service`.
    pub(super) fn count_first_attempt(&self, service: &ServiceId) {
        let (bound, now) = (self.bounds.read().retry_bound(), self.clock.now());
        self.with_retries(service, |budget| budget.on_first_attempt(&bound, now));
    }

    /// Takes a retry from the budget of `service`, and returns whether it may be made.
    pub(super) fn try_retry(&self, service: &ServiceId) -> bool {
        let (bound, now) = (self.bounds.read().retry_bound(), self.clock.now());
        let members = self.members();
        let own_id = &self.settings.raw.node;
        let rank = members.nodes().filter(|record| record.id < *own_id).count();
        let slack_part = bound.slack_part(rank, members.nodes().count());
        self.with_retries(service, |budget| budget.try_retry(&bound, slack_part, now))
    }

    fn with_retries<T>(
        &self,
        service: &ServiceId,
        step: impl FnOnce(&mut FleetRetryBudget) -> T,
    ) -> T {
        let mut retries = self.retries.lock();
        step(retries.entry(service.clone()).or_default())
    }
}
