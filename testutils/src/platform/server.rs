//! The stand-in as an HTTP server, with faults.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use balsamfold::process::platform::CallCounts;
use balsamfold::process::platform::CallKind;
use balsamfold::process::platform::PlatformCall;
use balsamfold::process::platform::PlatformKey;
use balsamfold::process::platform::PlatformReply;
use balsamfold::process::platform::PlatformValue;
use balsamfold::process::platform::SwapReply;
use balsamfold::process::platform::WatchReply;
use balsamfold::values::Clock;
use balsamfold::values::MonotonicTime;
use balsamfold::values::ZoneId;
use parking_lot::Mutex;
use serde::Deserialize;
use serde::Serialize;
use snafu::Snafu;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;

use super::Faults;
use super::PlatformStore;
use super::http::accept;

/// Longest time between two checks of the leases while a call waits.
const LEASE_CHECK_PERIOD: Duration = Duration::from_millis(50);

/// Counts of the calls to the stand-in.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StandInStatus {
    /// Calls that reached the service, by kind, including those refused as busy.
    pub calls: CallCounts,
    /// Calls refused as busy.
    pub busy: u64,
    /// Calls without a reply due to a fault.
    pub cut: u64,
}

/// A running stand-in. It stops when the handle is dropped.
pub struct PlatformStandIn {
    address: SocketAddr,
    shared: Arc<Shared>,
    accepting: JoinHandle<()>,
}

/// State of the service. `state` is the only lock and is never held across an await.
pub(super) struct Shared {
    state: Mutex<State>,
    changes: watch::Sender<u64>,
    clock: Clock,
}

#[derive(Default)]
struct State {
    store: PlatformStore,
    faults: Faults,
    status: StandInStatus,
    changes_waiting: u32,
    current_second: u64,
    calls_in_second: u32,
}

/// A fault requires that the connection is closed without a reply.
#[derive(Debug, Snafu)]
#[snafu(display("connection closed due to a fault"))]
pub(super) struct CutError;

impl PlatformStandIn {
    /// Starts a stand-in on `address`; port 0 selects a free port.
    pub async fn start(address: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            state: Mutex::default(),
            changes: watch::Sender::new(0),
            clock: Clock::start(),
        });
        let accepting = tokio::spawn(accept(listener, shared.clone()));
        Ok(Self {
            address,
            shared,
            accepting,
        })
    }

    /// Starts a stand-in on a free port of the loopback interface.
    pub async fn start_local() -> io::Result<Self> {
        Self::start(SocketAddr::from(([127, 0, 0, 1], 0))).await
    }

    /// Returns the address on which the stand-in listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the faults, also for calls that are waiting.
    pub fn set_faults(&self, faults: Faults) {
        self.shared.set_faults(faults);
    }

    /// Returns the counts of calls.
    pub fn status(&self) -> StandInStatus {
        self.shared.status()
    }

    /// Writes a value without checking its revision or a lease.
    pub fn overwrite(&self, key: PlatformKey, value: PlatformValue) {
        self.shared.state.lock().store.overwrite(key, value);
        self.shared.notify_waiting_calls();
    }

    /// Serves until the process ends.
    pub async fn run(mut self) {
        let _ = (&mut self.accepting).await;
    }
}

impl Drop for PlatformStandIn {
    fn drop(&mut self) {
        self.accepting.abort();
        self.shared.set_faults(Faults {
            is_down: true,
            ..Faults::default()
        });
    }
}

impl Shared {
    pub(super) fn set_faults(&self, faults: Faults) {
        self.state.lock().faults = faults;
        self.notify_waiting_calls();
    }

    pub(super) fn faults(&self) -> Faults {
        self.state.lock().faults.clone()
    }

    pub(super) fn status(&self) -> StandInStatus {
        self.state.lock().status.clone()
    }

    fn notify_waiting_calls(&self) {
        self.changes.send_modify(|count| *count += 1);
    }

    fn is_cut(&self, zone: Option<&ZoneId>) -> bool {
        self.state.lock().faults.cuts(zone)
    }

    pub(super) async fn call(
        &self,
        call: PlatformCall,
        zone: Option<&ZoneId>,
    ) -> Result<PlatformReply, CutError> {
        let delay = self.admit(call.kind(), zone)?;
        if let Some(busy) = self.busy_reply() {
            return Ok(busy);
        }
        sleep(delay).await;
        if changes_configuration(&call) {
            self.wait_at_barrier().await;
        }
        let deadline = Instant::now() + Duration::from_millis(call.wait_ms());
        loop {
            let mut changes = self.changes.subscribe();
            if self.is_cut(zone) {
                return Err(self.count_cut());
            }
            let reply = self.apply(call.clone())?;
            match reply {
                PlatformReply::Watch(WatchReply::Unchanged) if Instant::now() < deadline => {
                    tokio::select! {
                        _ = changes.changed() => {}
                        () = sleep_until(deadline.min(Instant::now() + LEASE_CHECK_PERIOD)) => {}
                    }
                }
                reply => return Ok(reply),
            }
        }
    }

    /// Waits until `Faults::change_barrier` changes of the configuration are waiting.
    async fn wait_at_barrier(&self) {
        let mut changes = self.changes.subscribe();
        {
            let mut state = self.state.lock();
            state.changes_waiting += 1;
            if state.changes_waiting >= state.faults.change_barrier {
                state.changes_waiting = 0;
                state.faults.change_barrier = 0;
            }
        }
        self.notify_waiting_calls();
        while self.state.lock().faults.change_barrier > 0 {
            if changes.changed().await.is_err() {
                return;
            }
        }
    }

    fn admit(&self, kind: CallKind, zone: Option<&ZoneId>) -> Result<Duration, CutError> {
        let mut state = self.state.lock();
        if state.faults.cuts(zone) {
            state.status.cut += 1;
            return Err(CutError);
        }
        let calls = &mut state.status.calls;
        match kind {
            CallKind::Get => calls.gets += 1,
            CallKind::CompareAndSwap => calls.swaps += 1,
            CallKind::Watch => calls.watches += 1,
            CallKind::Lease => calls.leases += 1,
        }
        Ok(Duration::from_millis(state.faults.delay_ms))
    }

    fn busy_reply(&self) -> Option<PlatformReply> {
        let mut state = self.state.lock();
        let current_second = self.clock.now().since(MonotonicTime::default()).as_secs();
        if current_second != state.current_second {
            state.current_second = current_second;
            state.calls_in_second = 0;
        }
        state.calls_in_second += 1;
        match state.faults.calls_per_s {
            Some(limit) if state.calls_in_second > limit => {
                state.status.busy += 1;
                Some(PlatformReply::Busy)
            }
            _ => None,
        }
    }

    fn apply(&self, call: PlatformCall) -> Result<PlatformReply, CutError> {
        let is_change = changes_configuration(&call);
        let mut state = self.state.lock();
        let reply = state.store.apply(call, self.clock.now());
        let changed = !matches!(reply, PlatformReply::Watch(_) | PlatformReply::Value(_));
        let is_written = matches!(reply, PlatformReply::Swap(SwapReply::Done(_)));
        let is_lost = is_written && state.faults.lost_swap_replies > 0;
        state.faults.is_down |= is_written && is_change && state.faults.goes_down_with_change;
        if is_lost {
            state.faults.lost_swap_replies -= 1;
            state.status.cut += 1;
        }
        drop(state);
        if changed {
            self.notify_waiting_calls();
        }
        match is_lost {
            true => Err(CutError),
            false => Ok(reply),
        }
    }

    fn count_cut(&self) -> CutError {
        self.state.lock().status.cut += 1;
        CutError
    }
}

fn changes_configuration(call: &PlatformCall) -> bool {
    let changed = PlatformKey::Configuration;
    matches!(call, PlatformCall::CompareAndSwap { key, .. } if *key == changed)
}
