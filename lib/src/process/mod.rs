//! What lives for the whole process.

pub mod events;
pub mod membership;
pub mod rates;
