//! What lives for the whole process.

pub mod control;
pub mod events;
pub mod gate;
pub mod membership;
pub mod node;
pub mod secret;
pub mod settings;
pub mod routing;
pub mod rates;
