//! The calls of the control channel.

use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;

use crate::process::configuration::ConfigurationNews;
use crate::process::membership::NodeRecord;
use crate::process::node::NodeDump;
use crate::values::ConfigVersion;
use crate::version::Configuration;

plain_data! {
    /// The answer to a drain call.
    pub struct DrainStarted {
        /// Requests that are still in flight.
        pub in_flight_requests: usize,
    }
}

/// The calls of the control channel.
#[rpc(server, client, namespace = "balsamfold")]
pub trait Control {
    /// Returns what the node knows and does.
    #[method(name = "dump")]
    async fn dump(&self) -> RpcResult<NodeDump>;

    /// Returns all nodes that the node knows.
    #[method(name = "nodes")]
    async fn nodes(&self) -> RpcResult<Vec<NodeRecord>>;

    /// Begins a planned stop; the process ends when its work is done.
    #[method(name = "drain")]
    async fn drain(&self) -> RpcResult<DrainStarted>;

    /// Offers a configuration; returns the version in force afterwards.
    #[method(name = "offerConfiguration")]
    async fn offer_configuration(&self, configuration: Configuration) -> RpcResult<ConfigVersion>;

    /// Tells that the calling node has a configuration in force.
    #[method(name = "configurationNews")]
    async fn configuration_news(&self, news: ConfigurationNews) -> RpcResult<()>;

    /// Returns the configuration in force if it is newer than `than`.
    #[method(name = "newerConfiguration")]
    async fn newer_configuration(&self, than: ConfigVersion) -> RpcResult<Option<Configuration>>;
}
