//! Tracks the version of the endpoint list in force, and decides which answers of discovery may replace it.
//!
//! Calls can overlap: an answer to a call that timed out is still awaited, as discovery counts what it has written to
//! that call as delivered. [`ListTracker::apply_if_newer`] compares versions to decide whether an answer is newer than
//! the list in force.

use super::client::{CallResult, DiscoveryError};
use super::endpoint_list::ListAnswer;
use crate::net::host::Host;
use meadowproxy::EndpointUpdate;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::{AbortHandle, JoinHandle};
use tracing::info;

/// How long the answer to an abandoned call is still awaited.
const LATE_ANSWER_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum number of abandoned calls still awaited; above it the oldest is cancelled. Each holds a descriptor, and
/// possibly a partly received list in memory.
const MAX_LATE_CALLS: usize = 4;

/// A call in progress, with the state of the list when it began.
pub struct PendingCall {
    /// The epoch that the answer's version belongs to.
    epoch: u64,
    /// The number of lists applied until then.
    applied_lists: u64,
    /// The version of the list in force then.
    pub index: u64,
    /// Whether it requests the full list.
    pub is_full: bool,
}

/// How an answer relates to the list in force.
#[derive(Debug, PartialEq)]
pub enum UpdateResult {
    /// It is newer, and was applied.
    Applied,
    /// It is not newer than an answer that was applied while the call was in progress.
    Stale,
    /// It contains changes to a list other than the one in force: the full list is needed.
    Gap,
}

/// The version of the list in force, and the abandoned calls whose answers are still awaited.
pub struct ListTracker {
    host: Rc<Host>,
    index: Cell<u64>,
    applied_lists: Cell<u64>,
    /// The epoch of the list in force. Versions are comparable only within an epoch: numbering restarts with each
    /// address and with each start of discovery.
    epoch: Cell<u64>,
    /// The epoch of new calls.
    latest_epoch: Cell<u64>,
    /// Notified when the answer to an abandoned call was applied.
    late_answer: Notify,
    late_calls: RefCell<VecDeque<AbortHandle>>,
}

impl ListTracker {
    /// Creates a tracker for which the list of version `index` is in force.
    pub fn new(host: Rc<Host>, index: u64) -> ListTracker {
        ListTracker {
            host,
            index: Cell::new(index),
            applied_lists: Cell::default(),
            epoch: Cell::default(),
            latest_epoch: Cell::default(),
            late_answer: Notify::new(),
            late_calls: RefCell::default(),
        }
    }

    /// Returns the version of the list in force.
    pub fn index(&self) -> u64 {
        self.index.get()
    }

    /// Begins a call. It requests the full list if that is wanted or if the list in force is of an earlier epoch.
    pub fn begin_call(&self, wants_full_list: bool) -> PendingCall {
        let epoch = self.latest_epoch.get();
        PendingCall {
            epoch,
            applied_lists: self.applied_lists.get(),
            index: self.index.get(),
            is_full: wants_full_list || epoch != self.epoch.get(),
        }
    }

    /// Begins a new epoch: versions of later answers are not comparable with earlier ones.
    pub fn begin_epoch(&self) {
        self.latest_epoch.set(self.latest_epoch.get() + 1);
    }

    /// Applies an answer if it is newer than the list in force. Of two answers whose calls overlapped, the one with the
    /// higher index is newer. A lower index is accepted only if the call began after the list in force was applied:
    /// then discovery has restarted.
    fn apply_if_newer(&self, call: &PendingCall, list: &ListAnswer) -> UpdateResult {
        let epoch = self.epoch.get();
        let index = self.index.get();
        let has_crossed = call.applied_lists != self.applied_lists.get() && list.index <= index;
        if call.epoch < epoch || (call.epoch == epoch && has_crossed) {
            return UpdateResult::Stale;
        }
        if !list.is_full && (call.is_full || list.index < call.index) {
            return UpdateResult::Gap;
        }
        if call.epoch == epoch && list.index < index && epoch == self.latest_epoch.get() {
            self.begin_epoch();
            self.epoch.set(self.latest_epoch.get());
        } else {
            self.epoch.set(call.epoch);
        }
        self.apply(list);
        UpdateResult::Applied
    }

    fn apply(&self, list: &ListAnswer) {
        self.applied_lists.set(self.applied_lists.get() + 1);
        self.index.set(list.index);
        let update = if list.is_full {
            EndpointUpdate::Full
        } else {
            EndpointUpdate::Incremental
        };
        self.host.apply_endpoints(update, &list.entries);
    }

    /// Applies the answer to a call that did not time out.
    pub fn apply_timely_answer(
        &self,
        call: &PendingCall,
        list: &ListAnswer,
    ) -> Result<UpdateResult, DiscoveryError> {
        match self.apply_if_newer(call, list) {
            UpdateResult::Gap if call.is_full => Err(DiscoveryError::ChangesOnly),
            result => Ok(result),
        }
    }

    /// Keeps waiting for the answer to an abandoned call, and applies it if it is newer.
    pub fn await_late_answer(self: &Rc<Self>, call: PendingCall, running: JoinHandle<CallResult>) {
        let mut late_calls = self.late_calls.borrow_mut();
        late_calls.retain(|call| !call.is_finished());
        late_calls.push_back(running.abort_handle());
        if late_calls.len() > MAX_LATE_CALLS {
            if let Some(oldest) = late_calls.pop_front() {
                oldest.abort();
            }
        }
        let tracker = self.clone();
        tokio::task::spawn_local(tracker.apply_late_answer(call, running));
    }

    async fn apply_late_answer(
        self: Rc<Self>,
        call: PendingCall,
        mut running: JoinHandle<CallResult>,
    ) {
        let finished = tokio::time::timeout(LATE_ANSWER_TIMEOUT, &mut running).await;
        running.abort(); // releases the connection of a call without an answer
        let Ok(Ok(CallResult {
            answer: Ok(list), ..
        })) = finished
        else {
            return;
        };
        let is_in_force = call.epoch == self.epoch.get() && list.index == self.index.get();
        if !is_in_force && self.apply_if_newer(&call, &list) == UpdateResult::Applied {
            info!(
                index = list.index,
                "discovery answered a call late, with {}", list.index
            );
            self.late_answer.notify_one();
        }
    }

    /// Waits until the answer to an abandoned call is applied.
    pub async fn late_answer(&self) {
        self.late_answer.notified().await;
    }

    /// Discards a pending notification of a late answer.
    pub fn clear_late_answer(&self) {
        std::pin::pin!(self.late_answer.notified())
            .as_mut()
            .enable();
    }
}
