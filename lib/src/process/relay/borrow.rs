//! Borrows tokens of an organisation's allowance from other nodes.

use std::sync::Arc;
use std::time::Duration;

use rand::seq::IteratorRandom;

use super::frame::Head;
use super::frame::encode_frame;
use super::link::LinkFailure;
use super::link::PeerReply;
use super::node::RelayNode;
use crate::process::membership::NodeRecord;
use crate::values::OrganisationId;
use crate::values::TokenCount;

/// Maximum number of nodes from which a loan is requested, one after the other, before a request is
/// refused.
const LENDERS_MAX: usize = 2;
/// Timeout of one loan request: several round trips between zones.
const BORROW_TIMEOUT: Duration = Duration::from_millis(50);

/// Requests tokens from random nodes, one after the other, until one lends some.
pub(super) async fn borrow_tokens(node: &Arc<RelayNode>, organisation: &OrganisationId) {
    // Ends the borrowing even if the request that started it is dropped.
    let mut guard = BorrowGuard {
        node,
        organisation,
        tokens: TokenCount(0),
    };
    for lender in choose_lenders(node) {
        let request = request_tokens(node, &lender, organisation);
        let tokens = match tokio::time::timeout(BORROW_TIMEOUT, request).await {
            Ok(Ok(tokens)) => tokens,
            Ok(Err(_)) | Err(_) => TokenCount(0),
        };
        if tokens.0 > 0 {
            guard.tokens = tokens;
            break;
        }
    }
}

struct BorrowGuard<'a> {
    node: &'a RelayNode,
    organisation: &'a OrganisationId,
    tokens: TokenCount,
}

impl Drop for BorrowGuard<'_> {
    fn drop(&mut self) {
        let now = self.node.clock.now();
        let mut allowances = self.node.allowances.lock();
        allowances.end_borrowing(self.organisation, self.tokens, now);
    }
}

fn choose_lenders(node: &RelayNode) -> Vec<NodeRecord> {
    let members = node.members();
    members
        .nodes()
        .filter(|record| record.id != node.settings.raw.node)
        .filter(|record| !node.links.is_unresponsive(record.addresses.peer))
        .cloned()
        .choose_multiple(&mut rand::rng(), LENDERS_MAX)
}

async fn request_tokens(
    node: &Arc<RelayNode>,
    lender: &NodeRecord,
    organisation: &OrganisationId,
) -> Result<TokenCount, LinkFailure> {
    let link = node.links.get(&lender.id, lender.addresses.peer).await?;
    let link_reply = link
        .exchange(|exchange| {
            let head = Head::Borrow {
                exchange,
                organisation: organisation.clone(),
            };
            encode_frame(&head, &[]).map_err(|_| LinkFailure::NotSent)
        })
        .await?;
    match link_reply.reply {
        PeerReply::Lent(tokens) => Ok(tokens),
        PeerReply::Response(_) | PeerReply::Refused(_) | PeerReply::Pong => Ok(TokenCount(0)),
    }
}
