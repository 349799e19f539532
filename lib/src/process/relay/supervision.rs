//! Keeps an unexpected panic from ending more than the work in which it occurred.

use std::any::Any;
use std::panic::AssertUnwindSafe;
use std::time::Duration;

use futures::FutureExt;
use tokio::time::sleep;

use crate::process::events::relay as events;

/// Delay before a task that panicked is started again.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// Runs `work` and returns its output, or none if it panicked, which is logged.
///
/// Locks are released and not poisoned by a panic. No lock is held across a call that could panic
/// on input from outside.
pub(super) async fn catch_panic<T>(name: &str, work: impl Future<Output = T>) -> Option<T> {
    match AssertUnwindSafe(work).catch_unwind().await {
        Ok(output) => Some(output),
        Err(panic) => {
            events::PANICKED.log(format_args!(
                "work={name} reason=\"{}\"",
                message_of(&*panic)
            ));
            None
        }
    }
}

/// Runs the task that `start` returns, and starts it again after a panic.
pub(super) async fn supervise<F>(name: &'static str, start: impl Fn() -> F)
where
    F: Future<Output = ()>,
{
    while catch_panic(name, start()).await.is_none() {
        sleep(RESTART_DELAY).await;
    }
}

fn message_of(panic: &(dyn Any + Send)) -> &str {
    match (panic.downcast_ref::<&str>(), panic.downcast_ref::<String>()) {
        (Some(text), _) => text,
        (None, Some(text)) => text,
        (None, None) => "unknown",
    }
}
