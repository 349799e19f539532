//! At-most-once requests, on the whole path through a node.
//!
//! [`route`] forwards a request to its home node, [`home`] runs it there under its record,
//! [`terms`] maintains the terms of this node, [`registrar`] those of the zone, and [`transfer`]
//! hands terms over to other nodes.

mod home;
mod messages;
mod registrar;
mod route;
mod state;
mod stored;
mod terms;
mod transfer;

pub(super) use self::home::serve_keyed;
pub use self::messages::RenewalReply;
pub use self::messages::RenewalRequest;
pub(super) use self::route::forward_keyed;
pub(super) use self::state::OnceState;
pub(super) use self::terms::OnceTasks;
pub(super) use self::transfer::transfer_all;
pub(super) use self::transfer::wait_for_runs;
