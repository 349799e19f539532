//! Many processes on one machine.
