//! A runtime of its own for a stand-in, so that the stand-in can crash alone.

use std::sync::Arc;

use parking_lot::Mutex;
use tokio::runtime::Builder;
use tokio::runtime::Runtime;
use tokio::task::JoinHandle;

/// The runtime of an isolated stand-in; none if the stand-in uses the runtime of the test.
#[derive(Clone, Default)]
pub(crate) struct OwnRuntime(Arc<Slot>);

#[derive(Default)]
struct Slot(Mutex<Option<Runtime>>);

impl Slot {
    fn shut_down(&self) {
        if let Some(runtime) = self.0.lock().take() {
            runtime.shutdown_background();
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        // A runtime must not be dropped by a task.
        self.shut_down();
    }
}

impl OwnRuntime {
    /// Starts the runtime with one worker thread, and runs `future` on it.
    pub(crate) fn start<T: Send + 'static>(
        &self,
        future: impl Future<Output = T> + Send + 'static,
    ) -> std::io::Result<JoinHandle<T>> {
        let runtime = Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()?;
        let running = runtime.spawn(future);
        *self.0.0.lock() = Some(runtime);
        Ok(running)
    }

    /// Closes all sockets of the stand-in at once, as the crash of a process does.
    pub(crate) fn shut_down(&self) {
        self.0.shut_down();
    }

    /// Returns whether the runtime was started and not shut down since.
    pub(crate) fn is_running(&self) -> bool {
        self.0.0.lock().is_some()
    }
}
