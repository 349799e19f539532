//! What nodes tell each other about the store.

use crate::process::relay::store::StoreEvent;
use crate::process::relay::store::StoreItem;
use crate::process::relay::store::StorePosition;
use crate::process::relay::store::StoreRevision;

plain_value! {
    /// A part of the store that every node knows.
    pub enum View {
        /// The entries of the fleet's nodes.
        Entries,
        /// Requests that crashed several backend servers.
        Quarantines,
        /// The operators' configuration, and the zones that they evacuated.
        Configuration,
    }
}

impl View {
    /// All views.
    pub const ALL: [Self; 3] = [Self::Entries, Self::Quarantines, Self::Configuration];
}

/// The position up to which a node knows each view, in the order of [`View::ALL`].
pub type ViewPositions = [Option<StorePosition>; View::ALL.len()];

plain_data! {
    /// An update of a view.
    #[derive(Eq)]
    pub enum MirrorUpdate {
        /// All items.
        Listing {
            /// The items.
            items: Vec<StoreItem>,
            /// The position of the store at which they were read.
            position: StorePosition,
        },
        /// The changes after a revision.
        Changes {
            /// The changes.
            events: Vec<StoreEvent>,
            /// The revision after which all changes are included.
            after: StoreRevision,
            /// The position of the store up to which they are complete.
            position: StorePosition,
        },
    }
}

plain_data! {
    /// An update of one view, with its name.
    #[derive(Eq)]
    pub struct ViewUpdate {
        /// The view.
        pub view: View,
        /// The update.
        pub update: MirrorUpdate,
    }
}
