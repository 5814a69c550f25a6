//! Which version of the endpoint list is in force, and which answers of discovery may replace it.
//!
//! Calls can overlap: one that was given up is still listened to, as what discovery writes to it counts as delivered.
//! [`ListTracker::take`] decides by versions whether an answer is newer than the list in force.

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

/// How long a call that was given up is listened to.
const LATE_ANSWER_TIMEOUT: Duration = Duration::from_secs(10);
/// Most of them at once, of which the oldest is cancelled first: each has a descriptor, and maybe half a list in memory.
const MAX_LATE_CALLS: usize = 4;

/// A call, by the state of the list as it began.
pub struct PendingCall {
    /// The epoch in whose versions its answer will be.
    epoch: u64,
    /// How many lists had been applied.
    applied_lists: u64,
    /// The version of the list in force.
    pub index: u64,
    /// It asks for the full list.
    pub is_full: bool,
}

/// What an answer is relative to the list in force.
#[derive(Debug, PartialEq)]
pub enum UpdateResult {
    /// It is newer, and in force now.
    Applied,
    /// It crossed with a newer one.
    Stale,
    /// It has changes to a list other than the one in force: the full list is needed.
    Gap,
}

/// The version of the list in force, and calls that were given up.
pub struct ListTracker {
    host: Rc<Host>,
    index: Cell<u64>,
    applied_lists: Cell<u64>,
    /// The epoch of the list in force. An epoch is a span in which versions are comparable: they are counted anew at each
    /// address and with each start of discovery.
    epoch: Cell<u64>,
    /// The epoch of calls that begin now.
    latest_epoch: Cell<u64>,
    /// A call that was given up has brought a newer list.
    late_answer: Notify,
    late_calls: RefCell<VecDeque<AbortHandle>>,
}

impl ListTracker {
    /// With the list of that version in force.
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

    /// The version of the list in force.
    pub fn index(&self) -> u64 {
        self.index.get()
    }

    /// A call that begins now: for the full list where that is wanted, or where no list of this epoch is in force.
    pub fn begin_call(&self, wants_full_list: bool) -> PendingCall {
        let epoch = self.latest_epoch.get();
        PendingCall {
            epoch,
            applied_lists: self.applied_lists.get(),
            index: self.index.get(),
            is_full: wants_full_list || epoch != self.epoch.get(),
        }
    }

    /// From now on versions are counted anew.
    pub fn begin_epoch(&self) {
        self.latest_epoch.set(self.latest_epoch.get() + 1);
    }

    /// Applies an answer if it is newer than the list in force. Of two answers whose calls overlapped the higher index
    /// is the newer; an index may only go back in the answer to a call that began after the list in force was applied:
    /// then discovery has started anew.
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

    /// Takes the answer to a call that was waited for.
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

    /// Listens on for the answer to a call that was given up, and applies it if it is newer.
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
        running.abort(); // a call without an answer would keep its connection
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

    /// Waits until a call that was given up brings a newer list.
    pub async fn late_answer(&self) {
        self.late_answer.notified().await;
    }

    /// Forgets late answers so far.
    pub fn clear_late_answer(&self) {
        std::pin::pin!(self.late_answer.notified())
            .as_mut()
            .enable();
    }
}
