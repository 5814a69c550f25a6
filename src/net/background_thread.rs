//! A thread for long work, while the event loop goes on.
//!
//! Use [`BackgroundThread::run`] for work whose result the event loop waits for, such as reading the configuration or
//! amending the settings, and [`BackgroundThread::discard`] to free large values.

use std::io;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::mpsc;
use thiserror::Error;
use tokio::sync::oneshot;

type Job = Box<dyn FnOnce() + Send>;

/// Why work was not done in the background. The texts name the reading of the configuration; amending the settings
/// is awaited too.
#[derive(Debug, Error)]
pub enum BackgroundError {
    /// The thread cannot be started.
    #[error("no thread to read the configuration on: {0}")]
    StartThread(#[source] io::Error),
    /// The work panicked.
    #[error("the reading of the configuration broke off")]
    Panicked,
}

/// A handle on the thread; clones share it. There is one for as long as the program runs: a second thread would allocate
/// in a memory arena of its own, which the allocator does not give back.
#[derive(Clone)]
pub struct BackgroundThread(mpsc::Sender<Job>);

impl BackgroundThread {
    /// Starts the thread.
    pub fn start() -> Result<BackgroundThread, BackgroundError> {
        let (sender, jobs) = mpsc::channel::<Job>();
        let run_jobs = move || {
            for job in jobs {
                // A panic is reported to whoever waits for the job, and later jobs still run.
                let _ = catch_unwind(AssertUnwindSafe(job));
            }
        };
        std::thread::Builder::new()
            .name("background".into())
            .spawn(run_jobs)
            .map_err(BackgroundError::StartThread)?;
        Ok(BackgroundThread(sender))
    }

    /// Does the work on the thread and waits for its result.
    pub async fn run<T: Send + 'static>(
        &self,
        work: impl FnOnce() -> T + Send + 'static,
    ) -> Result<T, BackgroundError> {
        let (sender, result) = oneshot::channel();
        // A job that cannot be sent drops `sender`, on which the wait below ends with an error.
        let _ = self.0.send(Box::new(move || drop(sender.send(work()))));
        result.await.map_err(|_| BackgroundError::Panicked)
    }

    /// Drops a value on the thread: it may hold a hundred thousand entries.
    pub fn discard(&self, value: impl Send + 'static) {
        let _ = self.0.send(Box::new(move || drop(value)));
    }
}
