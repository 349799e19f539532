//! What lives for the whole process.

pub mod events;
pub mod gate;
pub mod membership;
pub mod routing;
