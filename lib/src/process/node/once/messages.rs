//! Control messages about terms.

use crate::process::once::Renewal;
use crate::process::once::RenewalOutcome;
use crate::values::NodeId;

plain_data! {
    /// A holder asks the registrar of its zone to extend its terms.
    pub struct RenewalRequest {
        /// The holder.
        pub node: NodeId,
        /// Its terms.
        pub renewal: Renewal,
    }
}

plain_data! {
    /// What a node says to a renewal.
    #[serde(rename_all = "kebab-case")]
    pub enum RenewalReply {
        /// It is the registrar and answers.
        #[serde(rename = "answer")]
        Outcome(RenewalOutcome),
        /// It is not the registrar; it may know who is.
        NotRegistrar(Option<NodeId>),
    }
}
