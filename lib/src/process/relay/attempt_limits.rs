//! How many nodes may refuse a request.

/// Maximum number of nodes that refuse a request as overloaded, before it reaches a server, until
/// the request is refused. Under overload, each attempt costs CPU time that responses need.
const REFUSING_NODES_MAX: usize = 2;

/// The same for a call that a backend server makes: without it, the work on its request was in vain.
const REFUSING_NODES_OF_CALL_MAX: usize = 4;

/// Number of nodes that refuse a request because their servers fail often, from which on it goes to
/// such a server all the same.
pub(super) const FAILING_NODES_MAX: usize = 2;

/// Maximum number of nodes tried for a request.
pub(super) const TRIED_NODES_MAX: usize = 6;

/// Maximum number of nodes that turn a request away because their servers are busier than others.
pub(super) const TURNED_AWAY_MAX: usize = 2;

/// Returns how many nodes may refuse a request as overloaded until it is refused. `is_call` is set
/// for a call that a backend server makes.
pub fn refusing_nodes_max(is_call: bool) -> usize {
    match is_call {
        true => REFUSING_NODES_OF_CALL_MAX,
        false => REFUSING_NODES_MAX,
    }
}
