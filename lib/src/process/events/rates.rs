//! Events of fleet rates: numbers 5000 to 5999.

use log::Level;

use super::Event;
use super::events;

events! {
    HOLDER_TAKEN = 5000, Info, "rates.holder-taken", "This node now holds the token buckets of its zone.";
}
