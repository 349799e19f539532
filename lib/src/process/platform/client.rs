//! Typed calls to the platform's key-value service.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::time::sleep;

use super::CallCounts;
use super::CallRateLimiter;
use super::LeaseId;
use super::PlatformCall;
use super::PlatformError;
use super::PlatformKey;
use super::PlatformReply;
use super::PlatformValue;
use super::Revision;
use super::StoredValue;
use super::SwapReply;
use super::WatchReply;
use super::counts::CallCounter;
use super::error::BadReplySnafu;
use super::error::BusySnafu;
use super::error::LeaseEndedSnafu;
use super::wire::WireClient;
use crate::values::Clock;
use crate::values::ZoneId;

/// Settings for the calls of a process to the platform's service.
#[derive(Clone, Debug)]
pub struct PlatformSettings {
    /// Address at which the service listens.
    pub address: SocketAddr,
    /// The zone of the process; `None` for an operator's command line.
    pub zone: Option<ZoneId>,
    /// Timeout of a call; a watch adds its own wait.
    pub call_timeout_ms: u64,
    /// Most calls that the process makes per second.
    pub calls_per_s: u32,
}

impl PlatformSettings {
    /// Timeout of a call if the settings have none, in milliseconds.
    pub const CALL_TIMEOUT_MS_DEFAULT: u64 = 1_000;

    /// Bound on calls per second if the settings have none.
    pub const CALLS_PER_S_DEFAULT: u32 = 10;

    /// Returns settings for the service at `address` without a zone and with the default limits.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            zone: None,
            call_timeout_ms: Self::CALL_TIMEOUT_MS_DEFAULT,
            calls_per_s: Self::CALLS_PER_S_DEFAULT,
        }
    }
}

/// Calls the platform's service with a timeout and a bound on the call rate.
///
/// A call is never retried; retries are up to the calling code. The only lock guards the rate
/// limiter and is held only to reserve a call.
pub struct PlatformClient {
    wire: WireClient,
    call_timeout: Duration,
    rate_limiter: Mutex<CallRateLimiter>,
    counter: CallCounter,
    clock: Clock,
}

impl PlatformClient {
    /// Creates a client. It opens no connection before the first call.
    pub fn new(settings: &PlatformSettings) -> Self {
        Self {
            wire: WireClient::new(settings.address, settings.zone.as_ref()),
            call_timeout: Duration::from_millis(settings.call_timeout_ms),
            rate_limiter: Mutex::new(CallRateLimiter::new(settings.calls_per_s)),
            counter: CallCounter::default(),
            clock: Clock::start(),
        }
    }

    /// Returns the number of calls made so far, by kind.
    pub fn counts(&self) -> CallCounts {
        self.counter.counts()
    }

    /// Reads the value of a key; `None` if the key is absent.
    pub async fn get(&self, key: &PlatformKey) -> Result<Option<StoredValue>, PlatformError> {
        let key = key.clone();
        match self.call(PlatformCall::Get { key }).await? {
            PlatformReply::Value(stored) => Ok(stored),
            other => unexpected_reply(&other),
        }
    }

    /// Writes `value` if the key has the revision `expected`, or is absent if that is `None`.
    ///
    /// With a lease, the value is removed when the lease ends.
    pub async fn compare_and_swap(
        &self,
        key: &PlatformKey,
        expected: Option<Revision>,
        value: &PlatformValue,
        lease: Option<LeaseId>,
    ) -> Result<SwapReply, PlatformError> {
        let call = PlatformCall::CompareAndSwap {
            key: key.clone(),
            expected,
            value: value.clone(),
            lease,
        };
        match self.call(call).await? {
            PlatformReply::Swap(swap) => Ok(swap),
            other => unexpected_reply(&other),
        }
    }

    /// Waits up to `wait` until the key has a revision other than `known`; `None` is an absent key.
    pub async fn watch(
        &self,
        key: &PlatformKey,
        known: Option<Revision>,
        wait: Duration,
    ) -> Result<WatchReply, PlatformError> {
        let call = PlatformCall::Watch {
            key: key.clone(),
            known,
            wait_ms: wait.as_millis() as u64,
        };
        match self.call(call).await? {
            PlatformReply::Watch(watched) => Ok(watched),
            other => unexpected_reply(&other),
        }
    }

    /// Creates a lease that ends after `ttl` unless it is renewed.
    pub async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, PlatformError> {
        let ttl_ms = ttl.as_millis() as u64;
        self.lease_call(PlatformCall::GrantLease { ttl_ms }).await
    }

    /// Renews a lease for its time to live.
    pub async fn renew_lease(&self, lease: LeaseId) -> Result<(), PlatformError> {
        let renewed = self.lease_call(PlatformCall::RenewLease { lease }).await;
        renewed.map(|_| ())
    }

    /// Ends a lease, which removes the values attached to it at once.
    pub async fn release_lease(&self, lease: LeaseId) -> Result<(), PlatformError> {
        let released = self.lease_call(PlatformCall::ReleaseLease { lease }).await;
        released.map(|_| ())
    }

    async fn lease_call(&self, call: PlatformCall) -> Result<LeaseId, PlatformError> {
        match self.call(call).await? {
            PlatformReply::Lease(lease) => Ok(lease),
            PlatformReply::LeaseEnded => LeaseEndedSnafu.fail(),
            other => unexpected_reply(&other),
        }
    }

    async fn call(&self, call: PlatformCall) -> Result<PlatformReply, PlatformError> {
        let delay = self.rate_limiter.lock().reserve(self.clock.now());
        sleep(delay).await;
        self.counter.add(call.kind());
        let time_limit = self.call_timeout + Duration::from_millis(call.wait_ms());
        match self.wire.send(&call, time_limit).await? {
            PlatformReply::Busy => BusySnafu.fail(),
            reply => Ok(reply),
        }
    }
}

impl fmt::Debug for PlatformClient {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let counts = self.counts();
        f.debug_struct("PlatformClient")
            .field("counts", &counts)
            .finish_non_exhaustive()
    }
}

fn unexpected_reply<T>(reply: &PlatformReply) -> Result<T, PlatformError> {
    let detail = format!("unexpected reply {reply:?}");
    BadReplySnafu { detail }.fail()
}
