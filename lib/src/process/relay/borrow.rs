//! Asks other nodes for tokens of an organisation's allowance.

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

/// Nodes that are asked, one after the other, before a request is refused.
const ASKED_NODES: usize = 2;
/// Longest wait for one node: several round trips between zones.
const ASK_TIMEOUT: Duration = Duration::from_millis(50);

/// Asks random nodes for tokens until one lends some.
pub(super) async fn borrow_tokens(node: &Arc<RelayNode>, organisation: &OrganisationId) {
    // Ends the question also if the request that asked is dropped.
    let mut borrowing = Borrowing {
        node,
        organisation,
        tokens: TokenCount(0),
    };
    for lender in lenders(node) {
        let asked = ask(node, &lender, organisation);
        let tokens = match tokio::time::timeout(ASK_TIMEOUT, asked).await {
            Ok(Ok(tokens)) => tokens,
            Ok(Err(_)) | Err(_) => TokenCount(0),
        };
        if tokens.0 > 0 {
            borrowing.tokens = tokens;
            break;
        }
    }
}

struct Borrowing<'a> {
    node: &'a RelayNode,
    organisation: &'a OrganisationId,
    tokens: TokenCount,
}

impl Drop for Borrowing<'_> {
    fn drop(&mut self) {
        let now = self.node.clock.now();
        let mut allowances = self.node.allowances.lock();
        allowances.end_borrowing(self.organisation, self.tokens, now);
    }
}

fn lenders(node: &RelayNode) -> Vec<NodeRecord> {
    let members = node.members();
    members
        .nodes()
        .filter(|record| record.id != node.settings.raw.node)
        .filter(|record| !node.links.is_unresponsive(record.addresses.peer))
        .cloned()
        .choose_multiple(&mut rand::rng(), ASKED_NODES)
}

async fn ask(
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
