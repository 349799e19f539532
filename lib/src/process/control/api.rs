//! The calls of the control channel.

use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;

use crate::process::configuration::ConfigurationNotice;
use crate::process::membership::NodeRecord;
use crate::process::node::NodeDump;
use crate::process::node::RenewalReply;
use crate::process::node::RenewalRequest;
use crate::process::once::Assignment;
use crate::process::once::ProcessSession;
use crate::process::once::RecordHandover;
use crate::process::once::SlotHandover;
use crate::process::rates::PeerStatus;
use crate::process::rates::SettlementReport;
use crate::process::rates::TokenReply;
use crate::process::rates::TokenRequest;
use crate::process::suspects::SuspectEntry;
use crate::values::ConfigVersion;
use crate::version::Configuration;

plain_data! {
    /// Reply to a drain call.
    pub struct DrainStarted {
        /// Number of requests that are still in flight.
        pub in_flight_requests: usize,
    }
}

/// The calls of the control channel.
#[rpc(server, client, namespace = "balsamfold")]
pub trait Control {
    /// Returns the state of the node.
    #[method(name = "dump")]
    async fn dump(&self) -> RpcResult<NodeDump>;

    /// Returns all nodes that the node knows.
    #[method(name = "nodes")]
    async fn nodes(&self) -> RpcResult<Vec<NodeRecord>>;

    /// Starts a planned stop. The process exits when its work is done.
    #[method(name = "drain")]
    async fn drain(&self) -> RpcResult<DrainStarted>;

    /// Offers a configuration. Returns the version in force afterwards.
    #[method(name = "offerConfiguration")]
    async fn offer_configuration(&self, configuration: Configuration) -> RpcResult<ConfigVersion>;

    /// Notifies the node that the calling node has a configuration in force.
    #[method(name = "configurationNews")]
    async fn configuration_news(&self, news: ConfigurationNotice) -> RpcResult<()>;

    /// Returns the configuration in force if it is newer than `than`.
    #[method(name = "newerConfiguration")]
    async fn newer_configuration(&self, than: ConfigVersion) -> RpcResult<Option<Configuration>>;

    /// Requests later ends for the windows of terms.
    #[method(name = "onceRenew")]
    async fn once_renew(&self, request: RenewalRequest) -> RpcResult<RenewalReply>;

    /// Returns the session to which terms for the node are addressed; `None` while it is leaving.
    #[method(name = "onceSession")]
    async fn once_session(&self) -> RpcResult<Option<ProcessSession>>;

    /// Assigns a new term to the node. Returns whether the node accepted it.
    #[method(name = "onceAssign")]
    async fn once_assign(&self, assignment: Assignment) -> RpcResult<bool>;

    /// Hands a term with its records over to the node. Returns whether the node accepted it.
    #[method(name = "onceHandOver")]
    async fn once_hand_over(&self, handover: SlotHandover) -> RpcResult<bool>;

    /// Reports suspected requests. Returns those that the node can clear.
    #[method(name = "suspectNews")]
    async fn suspect_news(&self, news: Vec<SuspectEntry>) -> RpcResult<Vec<SuspectEntry>>;

    /// Reports the outcome of an attempt whose record was handed over while it ran.
    #[method(name = "onceSettle")]
    async fn once_settle(&self, settled: RecordHandover) -> RpcResult<()>;

    /// Requests tokens from the holder of the node's zone.
    #[method(name = "askTokens")]
    async fn ask_tokens(&self, ask: TokenRequest) -> RpcResult<TokenReply>;

    /// Reports what happened to tokens of the node's zone.
    #[method(name = "reportTokens")]
    async fn report_tokens(&self, report: SettlementReport) -> RpcResult<()>;

    /// Notifies the node that the holder of its zone has released its role.
    #[method(name = "rateHolderReleased")]
    async fn rate_holder_released(&self) -> RpcResult<()>;

    /// Returns the status of the node for the holder of its zone, which makes this call. The status
    /// may promise that the node does not take the role over for a while.
    #[method(name = "rateHolderStanding")]
    async fn rate_holder_standing(&self) -> RpcResult<PeerStatus>;
}
