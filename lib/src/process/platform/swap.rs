//! A compare-and-swap that retries until its outcome is known, if possible.

use tokio::time::sleep;

use super::Backoff;
use super::ChangeSeen;
use super::PlatformClient;
use super::PlatformError;
use super::PlatformKey;
use super::PlatformValue;
use super::Revision;
use super::Step;
use super::StoredValue;
use super::SwapRetry;

/// Most calls for one compare-and-swap, reads included.
const SWAP_TRIES: u32 = 6;

/// Outcome of a compare-and-swap after all tries.
#[derive(Clone, Debug, PartialEq)]
pub enum SwapOutcome {
    /// The change took effect.
    Done,
    /// Another change took effect first; the key now has this value.
    Conflict(Option<StoredValue>),
    /// The change may or may not have taken effect, now or later.
    Unknown,
    /// The change did not take effect and will not.
    NothingChanged(PlatformError),
}

/// Writes `value` if the key has the revision `expected`, and retries after failed calls.
///
/// After a lost reply, the value is read back. `seen` returns whether a value shows the change.
pub async fn swap_with_retry(
    client: &PlatformClient,
    key: &PlatformKey,
    expected: Option<Revision>,
    value: &PlatformValue,
    mut backoff: Backoff,
    seen: impl Fn(Option<&StoredValue>) -> ChangeSeen,
) -> SwapOutcome {
    let mut retry = SwapRetry::new(expected, SWAP_TRIES);
    let mut step = Step::Swap;
    loop {
        step = match step {
            Step::Swap => {
                let reply = client.compare_and_swap(key, expected, value, None).await;
                let failed = reply.is_err();
                let next = retry.after_swap(reply, &seen);
                sleep_if(failed, &mut backoff).await;
                next
            }
            Step::Read => {
                let reply = client.get(key).await;
                let failed = reply.is_err();
                let next = retry.after_read(reply, &seen);
                sleep_if(failed, &mut backoff).await;
                next
            }
            Step::Done => return SwapOutcome::Done,
            Step::Conflict(current) => return SwapOutcome::Conflict(current),
            Step::Unknown => return SwapOutcome::Unknown,
            Step::NothingChanged(error) => return SwapOutcome::NothingChanged(error),
        };
    }
}

async fn sleep_if(failed: bool, backoff: &mut Backoff) {
    if failed {
        sleep(backoff.next_delay()).await;
    }
}
