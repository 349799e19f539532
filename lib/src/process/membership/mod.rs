//! Fleet membership: the known nodes, their backend servers, and whether they accept new work.
//!
//! Nodes probe one another as in SWIM and piggyback changed records on each probe.
//! [`MembershipState`] is the state machine; [`Membership`] runs it with a socket and a timer.

mod announcer;
mod codec;
mod contacts;
mod deltas;
mod incarnation;
mod members;
mod message;
mod probes;
mod record;
mod runner;
mod schedule;
mod seeds;
mod state;
mod suspicions;
mod table;
pub mod timing;
mod transfers;

pub use self::codec::DATAGRAM_MAX_BYTES;
pub use self::codec::DatagramBuilder;
pub use self::codec::DatagramError;
pub use self::codec::decode;
pub use self::deltas::DeltaQueue;
pub use self::deltas::send_limit;
pub use self::members::Departure;
pub use self::members::MEMBERS_MAX;
pub use self::members::Member;
pub use self::members::Members;
pub use self::members::MergeOutcome;
pub use self::message::Datagram;
pub use self::message::Envelope;
pub use self::message::Message;
pub use self::message::ProbeSequence;
pub use self::message::TableDigest;
pub use self::record::NodeAddresses;
pub use self::record::NodeCondition;
pub use self::record::NodeRecord;
pub use self::record::ServerRecord;
pub use self::runner::LinkFilter;
pub use self::runner::LinkState;
pub use self::runner::Membership;
pub use self::seeds::SEEDS_PER_ZONE;
pub use self::seeds::SeedList;
pub use self::seeds::SeedRecord;
pub use self::seeds::seed_list;
pub use self::state::ConfigHint;
pub use self::state::MembershipCounters;
pub use self::state::MembershipOptions;
pub use self::state::MembershipState;
pub use self::state::Outgoing;
pub use self::table::MemberTable;
