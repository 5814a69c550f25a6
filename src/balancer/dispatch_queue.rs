//! The queue of requests that wait for dispatch, and the order in which they get capacity.

use super::load_shedding::{FleetLoad, LOW_PRIORITY_VALUE};
use super::objective::ObjectiveProgress;
use super::requests::PendingRequest;
use super::silence_detection::silent_at;
use super::Balancer;
use crate::interface::{Action, BackendId, RequestId, Time};
use std::cmp::Ordering;

/// A threshold above every request value: no first attempt finds capacity.
const BLOCKS_ALL: f64 = f64::MAX;

/// The queue of requests that wait for dispatch.
#[derive(Default)]
pub(super) struct DispatchQueue {
    waiting: Vec<RequestId>,
    /// First attempts with a value below this are not tried until an event may free capacity, because one of them found
    /// none.
    blocked_below: f64,
}

impl DispatchQueue {
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    pub fn contains(&self, request: RequestId) -> bool {
        self.waiting.contains(&request)
    }

    pub fn push(&mut self, request: RequestId) {
        self.waiting.push(request);
    }

    pub fn remove(&mut self, request: RequestId) {
        self.waiting.retain(|waiting| *waiting != request);
    }

    /// Tries all requests again, after an event that may have freed capacity.
    pub fn unblock(&mut self) {
        self.blocked_below = 0.0;
    }

    /// Blocks further first attempts after one of this value found no capacity.
    fn block(&mut self, value: f64) {
        let low_priority = value < LOW_PRIORITY_VALUE;
        self.blocked_below = self.blocked_below.max(if low_priority {
            LOW_PRIORITY_VALUE
        } else {
            BLOCKS_ALL
        });
    }

    fn has_nothing_to_dispatch(&self) -> bool {
        self.waiting.is_empty() || self.blocked_below == BLOCKS_ALL
    }
}

/// A queued request with the keys of the dispatch order.
struct QueuedRequest {
    id: RequestId,
    arrived_at: Time,
    /// Expected gain in the operators' objective per unit of work.
    priority: f64,
    /// Value to compare with [`DispatchQueue::blocked_below`]. That of a retry is never below it.
    blocking_value: f64,
}

impl QueuedRequest {
    /// Orders requests by descending priority, and the newest first within a priority.
    fn dispatch_order(&self, other: &QueuedRequest) -> Ordering {
        let by_priority = other.priority.total_cmp(&self.priority);
        let newest_first = by_priority.then(other.arrived_at.cmp(&self.arrived_at));
        newest_first.then(self.id.cmp(&other.id))
    }
}

impl Balancer {
    /// Dispatches waiting requests in the order of [`QueuedRequest::dispatch_order`].
    pub(super) fn dispatch_waiting(&mut self, now: Time) {
        if self.dispatch_queue.has_nothing_to_dispatch() {
            return;
        }
        let load = self.fleet_load();
        for queued in self.take_by_priority() {
            if queued.blocking_value < self.dispatch_queue.blocked_below {
                self.dispatch_queue.push(queued.id);
            } else {
                self.dispatch_or_reject(now, queued.id, load);
            }
        }
    }

    /// Removes all requests from the queue and returns them in order of dispatch.
    fn take_by_priority(&mut self) -> Vec<QueuedRequest> {
        let waiting = std::mem::take(&mut self.dispatch_queue.waiting);
        let progress = if waiting.len() > 1 {
            ObjectiveProgress::of(&self.classes)
        } else {
            ObjectiveProgress::default() // one request needs no order
        };
        let queued = waiting
            .into_iter()
            .filter_map(|id| self.queued_request(id, progress));
        let mut queue: Vec<QueuedRequest> = queued.collect();
        queue.sort_by(QueuedRequest::dispatch_order);
        queue
    }

    fn queued_request(&self, id: RequestId, progress: ObjectiveProgress) -> Option<QueuedRequest> {
        let request = self.requests.pending.get(&id)?;
        let gain = self.objective_gain(request.class, progress);
        let is_first = request.attempts.is_empty();
        Some(QueuedRequest {
            id,
            arrived_at: request.arrived_at,
            priority: gain / self.classes.relative_work(request.class) * request.value,
            blocking_value: if is_first { request.value } else { BLOCKS_ALL },
        })
    }

    /// Dispatches a request, queues it again if there is no capacity, or gives it up if it may not be sent.
    fn dispatch_or_reject(&mut self, now: Time, id: RequestId, load: FleetLoad) {
        let Some(mut request) = self.requests.pending.remove(&id) else {
            return;
        };
        let sendable = self.may_send(now, &request, load);
        let backend = if sendable {
            self.select_backend(now, &request)
        } else {
            None
        };
        let dispatched =
            backend.is_some_and(|backend| self.dispatch(now, id, &mut request, backend));
        if sendable && !dispatched {
            if request.attempts.is_empty() {
                self.dispatch_queue.block(request.value);
            }
            self.dispatch_queue.push(id);
        }
        let gives_up = !sendable && !request.has_attempt_in_flight();
        self.requests.pending.insert(id, request);
        if gives_up {
            self.give_up(id);
        }
    }

    /// Returns whether the request may have an attempt now, regardless of capacity.
    fn may_send(&self, now: Time, request: &PendingRequest, load: FleetLoad) -> bool {
        let is_first = request.attempts.is_empty();
        let shed = is_first
            && (load.sheds_value(request.value)
                || load.sheds_infeasible(now, request, self.expected_latency(request.class)));
        let within_budget = !request.next_attempt_is_retry() || self.retry_budget.allows_retry();
        !shed && within_budget && self.allows_attempt(now, request)
    }

    /// Sends an attempt to the backend. Returns false if the backend is unknown.
    fn dispatch(
        &mut self,
        now: Time,
        id: RequestId,
        request: &mut PendingRequest,
        backend: BackendId,
    ) -> bool {
        let Some(record) = self.backends.get_mut(backend) else {
            return false;
        };
        if request.next_attempt_is_retry() {
            self.retry_budget.withdraw();
        }
        let work = self.classes.relative_work(request.class);
        record.record_dispatch(now, work, self.config.overload_window);
        self.requests
            .start_attempt(now, id, request, record.entry.clone());
        self.actions.push(Action::Dispatch {
            request: id,
            backend,
        });
        let expected_latency = self.expected_latency(request.class);
        self.schedule.check_by(silent_at(now, expected_latency));
        self.schedule
            .check_by(request.deadline - self.config.timer_resolution);
        true
    }
}
