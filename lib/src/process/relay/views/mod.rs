//! What a node knows of the store: the entries of the fleet, the quarantines and the configuration.
//!
//! One node of each zone watches the store, and the others learn of changes from it, so that the calls
//! of the store grow with zones and not with nodes. A node that no other one keeps up to date watches
//! the store itself. See `docs/design/views.md`.

mod apply;
mod follow;
mod messages;
mod mirror;
mod serve;
mod sources;
mod state;
mod store_watch;

pub(super) use self::follow::follow_views;
pub(super) use self::follow::refresh;
pub use self::messages::MirrorUpdate;
pub use self::messages::View;
pub use self::messages::ViewPositions;
pub use self::messages::ViewUpdate;
pub use self::mirror::Mirror;
pub use self::mirror::MirrorChange;
pub(super) use self::serve::serve_views;
pub use self::sources::SourcePlan;
pub use self::sources::plan_sources;
pub(super) use self::state::ViewState;
