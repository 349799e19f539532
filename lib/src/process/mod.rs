//! Components that exist for the whole run of a process.

pub mod configuration;
pub mod control;
pub mod events;
pub mod gate;
pub mod load;
pub mod membership;
pub mod metrics;
pub mod node;
pub mod once;
pub mod platform;
pub mod rates;
pub mod relay;
pub mod returns;
pub mod routing;
pub mod secret;
pub mod settings;
pub mod suspects;
