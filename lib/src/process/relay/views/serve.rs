//! Replies to nodes that poll this one.

use std::sync::Arc;

use super::messages::ViewPositions;
use crate::process::relay::frame::ExchangeId;
use crate::process::relay::frame::Head;
use crate::process::relay::frame_io::FrameSender;
use crate::process::relay::node::RelayNode;

/// Returns the reply to a node that knows the views up to `known`, and tells that node of later
/// changes for a time.
pub(in crate::process::relay) fn serve_views(
    node: &Arc<RelayNode>,
    exchange: ExchangeId,
    known: &ViewPositions,
    replies: &FrameSender,
) -> Head<'static> {
    node.views.add_follower(replies, node.clock.now());
    // The report comes first: a configuration that is put in force meanwhile is in the updates then.
    let confirmation = node.confirmation_report();
    Head::ViewReply {
        exchange,
        confirmation,
        updates: node.views.updates_since(known),
    }
}
