//! What a relay sends, learns and does by the loads of backend servers.

use std::time::Duration;

use super::frame::RequestMetadata;
use super::node::RelayNode;
use crate::process::events::relay as events;
use crate::process::load::LoadReport;
use crate::process::load::NodeKey;
use crate::process::load::NodeLoad;
use crate::process::load::ServiceLoads;
use crate::process::membership::MemberTable;
use crate::request::Refusal;
use crate::request::RefusalReason;
use crate::values::ServiceId;

impl RelayNode {
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
}
