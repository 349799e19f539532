//! Whether the node at the other end of a connection is still heard.

use std::time::Duration;

use crate::values::MonotonicTime;

/// Interval between liveness checks of a connection.
pub(super) const LIVENESS_CHECK_PERIOD: Duration = Duration::from_millis(100);
/// Silence after which the node is pinged.
const PING_AFTER: Duration = Duration::from_millis(150);
/// Silence after which new exchanges go elsewhere, and a new connection is tried beside this one. A
/// ping and its reply take a few milliseconds; a node short of CPU time takes a few hundred.
const UNRESPONSIVE_AFTER: Duration = Duration::from_millis(400);
/// Silence after which open exchanges count as lost, and the connection too unless an exchange waits
/// longer.
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Silence after which the connection counts as lost in any case. An instance that stood still for a
/// moment has sent its replies by then.
const SILENCE_MAX: Duration = Duration::from_secs(20);
/// Time since the start of the last exchange after which a connection without open exchanges is
/// closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Time between two checks from which on this process itself did not run. It may have missed what
/// arrived meanwhile.
const STANDSTILL: Duration = Duration::from_millis(300);

plain_value! {
    /// The exchanges that are open on a connection.
    pub enum OpenExchanges {
        /// There are none.
        None,
        /// All of them can be repeated elsewhere.
        Repeatable,
        /// At least one waits as long as its caller, because it must not be repeated.
        Awaited,
    }
}

plain_value! {
    /// What follows from a liveness check.
    pub enum LivenessAction {
        /// The node is heard, or owes nothing.
        Keep,
        /// Ask the node for a sign of life.
        Ping,
        /// Also open a new connection beside this one.
        OpenBeside,
        /// Also give up the exchanges that can be repeated elsewhere.
        GiveUp,
        /// Close the connection.
        Close,
    }
}

/// The silence of a connection: the time for which nothing arrived although something was owed.
///
/// A message that expects a reply, from whatever exchange, is owed until bytes arrive, also if the
/// exchange ends before. Short exchanges in series therefore show a silent connection, too.
#[derive(Clone, Copy, Debug)]
pub struct Liveness {
    owed_since: Option<MonotonicTime>,
    last_received_at: MonotonicTime,
    last_used_at: MonotonicTime,
    last_checked_at: MonotonicTime,
    is_retired: bool,
}

impl Liveness {
    /// Creates the state of a connection that was opened at `now`.
    pub fn new(now: MonotonicTime) -> Self {
        Self {
            owed_since: None,
            last_received_at: now,
            last_used_at: now,
            last_checked_at: now,
            is_retired: false,
        }
    }

    /// Records an exchange that begins.
    pub fn begin_exchange(&mut self, now: MonotonicTime) {
        self.last_used_at = now;
        self.expect_reply(now);
    }

    /// Records a message that expects a reply.
    pub fn expect_reply(&mut self, now: MonotonicTime) {
        self.owed_since.get_or_insert(now);
    }

    /// Records bytes that arrived. `is_awaiting` tells whether exchanges are still open.
    pub fn receive(&mut self, now: MonotonicTime, is_awaiting: bool) {
        self.last_received_at = now;
        self.owed_since = is_awaiting.then_some(now);
    }

    /// Records that a part of a large message was written. The node owes no reply to what is queued
    /// behind it. The parts stop soon if the node does not acknowledge them.
    pub fn send_part(&mut self, now: MonotonicTime) {
        self.owed_since = self.owed_since.map(|_| now);
    }

    /// Records that no more exchanges begin. The connection stays for those that are open.
    pub fn retire(&mut self) {
        self.is_retired = true;
    }

    /// Returns whether no more exchanges may begin.
    pub fn is_retired(&self) -> bool {
        self.is_retired
    }

    /// Returns whether nothing is owed and nothing arrived for `time`.
    pub fn is_quiet(&self, now: MonotonicTime, time: Duration) -> bool {
        self.owed_since.is_none() && now.since(self.last_received_at) > time
    }

    /// Returns when bytes were last received.
    pub fn last_received_at(&self) -> MonotonicTime {
        self.last_received_at
    }

    /// Returns how long nothing has arrived although something was owed.
    pub fn silence(&self, now: MonotonicTime) -> Duration {
        self.owed_since
            .map_or(Duration::ZERO, |since| now.since(since))
    }

    /// Returns whether new exchanges should go elsewhere.
    pub fn is_unresponsive(&self, now: MonotonicTime) -> bool {
        self.silence(now) > UNRESPONSIVE_AFTER
    }

    /// Decides what to do. Called every `LIVENESS_CHECK_PERIOD`.
    pub fn check(&mut self, now: MonotonicTime, open: OpenExchanges) -> LivenessAction {
        let since_check = now.since(self.last_checked_at);
        self.last_checked_at = now;
        if since_check > STANDSTILL {
            let stood_still = since_check.saturating_sub(LIVENESS_CHECK_PERIOD);
            let later = |since: MonotonicTime| since.after(stood_still).min(now);
            self.owed_since = self.owed_since.map(later);
        }
        let silence = self.silence(now);
        let is_idle = now.since(self.last_used_at) > IDLE_TIMEOUT;
        match open {
            OpenExchanges::None if self.is_retired || is_idle => LivenessAction::Close,
            _ if silence > SILENCE_MAX => LivenessAction::Close,
            OpenExchanges::Awaited if silence > RECEIVE_TIMEOUT => LivenessAction::GiveUp,
            _ if silence > RECEIVE_TIMEOUT => LivenessAction::Close,
            _ if silence > UNRESPONSIVE_AFTER && !self.is_retired => LivenessAction::OpenBeside,
            _ if silence > PING_AFTER => LivenessAction::Ping,
            _ => LivenessAction::Keep,
        }
    }
}
