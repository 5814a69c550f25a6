//! A thread for long-running work, so that it does not block the event loop.
//!
//! Use [`BackgroundThread::run`] for work whose result is awaited, such as reading the configuration or amending the
//! settings, and [`BackgroundThread::discard`] to free large values.

use std::io;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::mpsc;
use thiserror::Error;
use tokio::sync::oneshot;

type Job = Box<dyn FnOnce() + Send>;

/// Why background work has no result. The texts name reading the configuration, although amending the settings can fail
/// in the same way.
#[derive(Debug, Error)]
pub enum BackgroundError {
    /// The thread cannot be started.
    #[error("cannot start the thread that reads the configuration: {0}")]
    StartThread(#[source] io::Error),
    /// The work panicked.
    #[error("reading the configuration failed: the background job panicked")]
    Panicked,
}

/// Handle of the background thread; clones share it. There is only one thread, which runs until the process ends: each
/// further thread would allocate from a memory arena of its own, which the allocator does not return to the system.
#[derive(Clone)]
pub struct BackgroundThread(mpsc::Sender<Job>);

impl BackgroundThread {
    /// Starts the thread.
    pub fn start() -> Result<BackgroundThread, BackgroundError> {
        let (sender, jobs) = mpsc::channel::<Job>();
        let run_jobs = move || {
            for job in jobs {
                // A panic is reported to the caller that awaits the job, and later jobs still run.
                let _ = catch_unwind(AssertUnwindSafe(job));
            }
        };
        std::thread::Builder::new()
            .name("background".into())
            .spawn(run_jobs)
            .map_err(BackgroundError::StartThread)?;
        Ok(BackgroundThread(sender))
    }

    /// Runs the work on the thread and waits for its result.
    pub async fn run<T: Send + 'static>(
        &self,
        work: impl FnOnce() -> T + Send + 'static,
    ) -> Result<T, BackgroundError> {
        let (sender, result) = oneshot::channel();
        // A job that cannot be sent is dropped with `sender`, so that the wait below ends with an error.
        let _ = self.0.send(Box::new(move || drop(sender.send(work()))));
        result.await.map_err(|_| BackgroundError::Panicked)
    }

    /// Drops a value on the thread, as freeing a hundred thousand entries would block the event loop.
    pub fn discard(&self, value: impl Send + 'static) {
        let _ = self.0.send(Box::new(move || drop(value)));
    }
}
