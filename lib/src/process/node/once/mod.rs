//! Requests that run at most once, on the whole path of a node.
//!
//! [`route`] finds a request's home, [`home`] runs it there under its record, [`terms`] keeps the
//! terms of this node, [`registrar`] those of the zone, and [`transfer`] passes them on.

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
