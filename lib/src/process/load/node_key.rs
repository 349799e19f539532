//! A short name of a node.

use crate::values::NodeId;

number_type! {
    /// A hash of a node's id, which names the node in few bytes. The same on all nodes.
    ///
    /// Two nodes of a fleet may have the same key; [`super::LoadTable`] keeps nothing under such a key.
    NodeKey(u32)
}

impl From<&NodeId> for NodeKey {
    /// Hashes an id (32-bit FNV-1a).
    fn from(id: &NodeId) -> Self {
        let mix = |hash: u32, byte: &u8| (hash ^ u32::from(*byte)).wrapping_mul(0x0100_0193);
        Self(id.as_str().as_bytes().iter().fold(0x811c_9dc5, mix))
    }
}
