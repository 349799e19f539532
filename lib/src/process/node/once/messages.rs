//! Control messages about terms.

use crate::process::once::Renewal;
use crate::process::once::RenewalOutcome;
use crate::values::NodeId;

plain_data! {
    /// Request of a holder to the registrar of its zone to extend its terms.
    pub struct RenewalRequest {
        /// The holder.
        pub node: NodeId,
        /// Its terms.
        pub renewal: Renewal,
    }
}

plain_data! {
    /// Reply of a node to a renewal request.
    #[serde(rename_all = "kebab-case")]
    pub enum RenewalReply {
        /// The node is the registrar; contains its decision.
        #[serde(rename = "answer")]
        Outcome(RenewalOutcome),
        /// The node is not the registrar; contains the registrar if the node knows it.
        NotRegistrar(Option<NodeId>),
    }
}
