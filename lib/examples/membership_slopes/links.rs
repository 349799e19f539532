//! Links between two regions, for cuts.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use balsamfold::process::membership::LinkFilter;
use balsamfold::process::membership::LinkState;

/// The region of each address.
pub(crate) type Regions = HashMap<SocketAddr, usize>;

/// Links between two regions, which are cut and restored together.
#[derive(Default)]
pub(crate) struct Links {
    are_cut: AtomicBool,
}

impl Links {
    /// Cuts or restores all links between the regions.
    pub(crate) fn set(&self, state: LinkState) {
        let is_cut = state == LinkState::Cut;
        self.are_cut.store(is_cut, Ordering::Relaxed);
    }

    /// Returns the filter of a node in `region`.
    pub(crate) fn filter(self: &Arc<Self>, region: usize, regions: &Arc<Regions>) -> LinkFilter {
        let (links, regions) = (Arc::clone(self), Arc::clone(regions));
        LinkFilter::new(move |address| {
            let is_remote = regions.get(&address).is_some_and(|other| *other != region);
            match links.are_cut.load(Ordering::Relaxed) && is_remote {
                true => LinkState::Cut,
                false => LinkState::Up,
            }
        })
    }
}
