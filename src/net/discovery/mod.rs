//! Keeps the endpoint list up to date by long-polling discovery.
//!
//! - [`watch`]: the task that calls discovery, one call after another.
//! - [`PollSchedule`]: how long calls wait for changes, and the backoff after failed ones.
//! - `list_tracker`: decides which answers are newer than the list in force.
//! - `client`: the HTTP client.
//! - [`endpoint_list`]: the JSON format of the list.

mod client;
pub mod endpoint_list;
mod list_tracker;
mod poll_schedule;

pub use poll_schedule::PollSchedule;

use crate::net::host::Host;
use client::{call, CallResult, DiscoveryConnection, DiscoveryError};
use list_tracker::{ListTracker, PendingCall, UpdateResult};
use poll_schedule::{ANSWER_TIMEOUT, QUEUE_TIMEOUT};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::JoinError;
use tokio::time::error::Elapsed;
use tracing::{info, warn};

const LIST_PATH: &str = "/api/targets";

/// The request target of a call and the timeout of its answer.
struct CallRequest {
    uri: String,
    timeout: Duration,
}

/// The polling task's state between calls.
struct Watcher {
    host: Rc<Host>,
    tracker: Rc<ListTracker>,
    schedule: PollSchedule,
    address: SocketAddr,
    /// Discovery's address changed, and the new one has not answered yet.
    has_moved: bool,
    connection: Option<DiscoveryConnection>,
    wants_full_list: bool,
    /// How long discovery may hold the next call until there are changes. Zero at the start and after a failure or a
    /// move: such a call is answered at once, with everything that was missed.
    long_poll: Duration,
    /// The timeout of a call that does not wait for changes.
    queue_timeout: Duration,
    failures: u32,
}

impl Watcher {
    fn new(host: Rc<Host>, address: SocketAddr, index: u64, schedule: PollSchedule) -> Watcher {
        Watcher {
            tracker: Rc::new(ListTracker::new(host.clone(), index)),
            host,
            address,
            has_moved: false,
            connection: None,
            // An agent's answers are cheap, so polling begins with the full list.
            wants_full_list: !schedule.balancer_schedules_polls(),
            long_poll: Duration::ZERO,
            queue_timeout: QUEUE_TIMEOUT,
            failures: 0,
            schedule,
        }
    }

    /// Switches to discovery's configured address if it has changed. Called before each call, whatever ended the last
    /// wait.
    fn update_address(&mut self, address: SocketAddr) {
        if address == self.address {
            return;
        }
        self.tracker.begin_epoch();
        self.address = address;
        self.has_moved = true;
        self.connection = None;
        self.long_poll = Duration::ZERO;
    }

    fn request(&self, call: &PendingCall) -> CallRequest {
        if call.is_full {
            return CallRequest {
                uri: LIST_PATH.to_string(),
                timeout: self.queue_timeout,
            };
        }
        let wait_ms = self.long_poll.as_millis();
        CallRequest {
            uri: format!("{LIST_PATH}?after={}&wait_ms={wait_ms}", call.index),
            timeout: if self.long_poll.is_zero() {
                self.queue_timeout
            } else {
                self.long_poll + ANSWER_TIMEOUT
            },
        }
    }

    /// Applies the result of a call that did not time out.
    fn apply_result(
        &mut self,
        call: &PendingCall,
        finished: Result<CallResult, JoinError>,
    ) -> Result<UpdateResult, DiscoveryError> {
        let result = finished.map_err(|_| DiscoveryError::ConnectionEnded)?;
        self.connection = result.connection;
        self.tracker.apply_timely_answer(call, &result.answer?)
    }

    fn succeeded(&mut self, result: UpdateResult) {
        if self.failures > 0 {
            info!(
                index = self.tracker.index(),
                "discovery answers again, list version {}",
                self.tracker.index()
            );
        }
        self.failures = 0;
        self.long_poll = self.schedule.next_long_poll();
        self.has_moved = false;
        self.wants_full_list = result == UpdateResult::Gap;
    }

    /// Records a failed call and returns the backoff before the next one, which [`Watcher::next_call_due`] may cut
    /// short.
    fn failed(&mut self, error: &DiscoveryError) -> Duration {
        self.queue_timeout = if matches!(error, DiscoveryError::Status(_)) {
            self.schedule.full_queue_timeout
        } else {
            QUEUE_TIMEOUT
        };
        self.long_poll = Duration::ZERO;
        self.failures += 1;
        if self.failures == 1 {
            warn!(address = %self.address, "discovery failed: {error}");
        }
        self.tracker.clear_late_answer();
        if self.schedule.balancer_schedules_polls() {
            self.host.discovery_failed();
        }
        let has_moved = std::mem::take(&mut self.has_moved);
        self.schedule.backoff(self.failures, has_moved)
    }

    /// Waits until the backoff is over, the balancer requests a poll, or a late answer shows that discovery is
    /// reachable.
    async fn next_call_due(&self, backoff: Duration) {
        tokio::select! {
            () = self.host.poll_requested() => {}
            () = self.tracker.late_answer() => {}
            () = tokio::time::sleep(backoff) => {}
        }
    }
}

/// Keeps the endpoint list up to date until the process ends; `index` is the version of the list in force. When
/// discovery's address changes, the full list is requested from the new address at once. The answer to a call that is
/// abandoned, then or after a timeout, is still awaited and applied if it is newer.
pub async fn watch(
    host: Rc<Host>,
    mut addresses: watch::Receiver<SocketAddr>,
    index: u64,
    schedule: PollSchedule,
) {
    let address = *addresses.borrow_and_update();
    let mut watcher = Watcher::new(host.clone(), address, index, schedule);
    let tracker = watcher.tracker.clone();
    if watcher.schedule.balancer_schedules_polls() {
        host.poll_requested().await;
    }
    loop {
        watcher.update_address(*addresses.borrow_and_update());
        let pending = tracker.begin_call(watcher.wants_full_list);
        let request = watcher.request(&pending);
        let mut running = tokio::task::spawn_local(call(
            watcher.connection.take(),
            watcher.address,
            watcher.schedule.connect_timeout(),
            request.uri,
        ));
        let finished = tokio::select! {
            finished = tokio::time::timeout(request.timeout, &mut running) => finished,
            Ok(()) = addresses.changed() => {
                tracker.await_late_answer(pending, running);
                continue;
            }
        };
        let taken = match finished {
            Ok(result) => watcher.apply_result(&pending, result),
            Err(Elapsed { .. }) => {
                tracker.await_late_answer(pending, running);
                Err(DiscoveryError::Timeout)
            }
        };
        match taken {
            Ok(result) => watcher.succeeded(result),
            Err(error) => {
                let backoff = watcher.failed(&error);
                tokio::select! {
                    () = watcher.next_call_due(backoff) => {}
                    Ok(()) = addresses.changed() => {}
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
