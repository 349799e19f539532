//! Whether anybody still waits for the response of a request.

use std::fmt;
use std::sync::Arc;

use super::runs::Parent;
use super::runs::RunningRequest;
use crate::connection::ClientPresence;
use crate::process::events::relay as events;
use crate::request::Refusal;
use crate::request::RefusalReason;

/// A step that takes a request closer to a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Step {
    /// Its route, its key and its rate are checked.
    Admission,
    /// A token is taken for it, after its body was read.
    Token,
    /// It is sent to another node.
    Link,
    /// It is sent to the local backend server.
    Server,
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Admission => "admission",
            Self::Token => "token",
            Self::Link => "link",
            Self::Server => "server",
        })
    }
}

/// Those who wait for the response of a request.
///
/// A request may have waited before any of these steps, and its caller may have left meanwhile. So this is
/// asked at the end of each wait.
#[derive(Debug)]
pub(super) struct Waiter {
    /// The connection of the caller.
    pub(super) client: Option<ClientPresence>,
    /// The request that made this one, if it is an onward call.
    pub(super) parent: Parent,
}

impl Waiter {
    /// Returns the request on the local backend server that made this one, if it is an onward call.
    pub(super) fn parent(&self) -> Option<&Arc<RunningRequest>> {
        match &self.parent {
            Parent::Running(parent) => Some(parent),
            Parent::Abandoned | Parent::Unknown => None,
        }
    }

    /// Returns once nobody waits for the response of the request that made this one.
    pub(super) async fn until_parent_abandoned(&self) {
        match self.parent() {
            Some(parent) => parent.until_abandoned().await,
            None => std::future::pending().await,
        }
    }

    /// Refuses a request for whose response nobody waits, before `step`.
    pub(super) fn check(&self, request_id: &str, step: Step) -> Result<(), Refusal> {
        let is_parent_abandoned = match &self.parent {
            Parent::Running(parent) => parent.is_abandoned(),
            Parent::Abandoned => true,
            Parent::Unknown => false,
        };
        let is_abandoned =
            is_parent_abandoned || self.client.as_ref().is_some_and(ClientPresence::has_left);
        if !is_abandoned {
            return Ok(());
        }
        events::ABANDONED.log(format_args!("request={request_id} step={step}"));
        Err(Refusal::not_run(RefusalReason::Abandoned))
    }
}
