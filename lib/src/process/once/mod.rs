//! Runs requests that are not idempotent at most once.
//!
//! Each idempotency key belongs to a slot of its service in its home zone. The node that holds
//! the slot's term is the home node of the key and keeps its record. [`HeldTerms`] determines
//! which keys the node may run, [`OnceRecords`] keeps the outcomes of those that it ran, and the
//! zone's [`Registrar`] assigns the terms. See `docs/design/at-most-once.md` for the proof.

mod handover;
mod key;
mod keyed_request;
mod record;
mod records;
mod registrar;
mod slot;
mod stored_response;
mod term;
mod transfer;

pub use self::handover::HandoverState;
pub use self::handover::RecordHandover;
pub use self::handover::RunNumber;
pub use self::handover::SlotHandover;
pub use self::key::ContentDigest;
pub use self::key::IdempotencyKey;
pub use self::key::InvalidIdempotencyKeyError;
pub use self::key::KeyDigest;
pub use self::key::MintTime;
pub(crate) use self::key::digest_of;
pub use self::keyed_request::AttemptOutcome;
pub use self::keyed_request::KeyedDecision;
pub use self::keyed_request::KeyedRequest;
pub use self::records::OnceLimits;
pub use self::records::OnceRecords;
pub use self::records::RecordId;
pub use self::registrar::Registrar;
pub use self::registrar::RegistrarRecord;
pub use self::slot::InvalidSlotError;
pub use self::slot::SlotId;
pub use self::slot::home_zone;
pub use self::stored_response::HeaderLine;
pub use self::stored_response::StoredResponse;
pub use self::term::Assignment;
pub use self::term::HeldTerm;
pub use self::term::HeldTerms;
pub use self::term::MintWindow;
pub use self::term::MoveCount;
pub use self::term::ProcessSession;
pub use self::term::Renewal;
pub use self::term::RenewalOutcome;
pub use self::term::Term;
pub use self::term::TermClaim;
pub use self::term::TermMove;
