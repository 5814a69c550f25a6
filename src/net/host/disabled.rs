//! Disables and enables backends for operators and maintenance windows, regardless of the endpoint list.
//!
//! A backend is enabled again once its last [`DisableReason`] has ended.

use super::backend_directory::DisableReason;
use super::listed_names::NameHash;
use super::Host;
use meadowproxy::{BackendId, Event, Time};
use std::net::SocketAddr;
use std::rc::Rc;
use tracing::info;

impl Host {
    /// Returns whether the backend is disabled for that reason, with or without others.
    pub fn is_disabled(&self, name: &str, reason: DisableReason) -> bool {
        let s = self.state.borrow();
        let record = s.ids_by_name.get(name).and_then(|id| s.backends.get(id));
        record.is_some_and(|record| record.reasons.contains(reason))
    }

    /// Disables the backend for a reason, whether it is listed now or not. Returns false, and changes nothing, if it was
    /// never listed.
    pub fn disable_backend(self: &Rc<Self>, name: &str, reason: DisableReason) -> bool {
        let was_listed = self.was_listed(name);
        if was_listed {
            self.disable_even_if_unlisted(name, reason);
        }
        was_listed
    }

    /// Disables the backend for a reason, even if no endpoint list of this process has contained it yet.
    pub fn disable_even_if_unlisted(self: &Rc<Self>, name: &str, reason: DisableReason) {
        if let Some(backend) = self.add_reason(name, reason) {
            self.handle_event(Event::BackendDisabled { backend });
        }
    }

    /// Adds the reason. Returns the backend's id if it was enabled before.
    fn add_reason(&self, name: &str, reason: DisableReason) -> Option<BackendId> {
        let mut s = self.state.borrow_mut();
        let next_id = s.next_backend_id;
        let id = s.get_or_create_id(name, SocketAddr::from(([0, 0, 0, 0], 0)));
        if id.0 == next_id {
            info!(
                "backend {} is {name}, which is not in the endpoint list",
                id.0
            );
        }
        if reason == DisableReason::Operator {
            // Operators can disable only what was listed, if not in this process then in the one that they called.
            s.listed_names.add(NameHash::of(name));
        }
        let record = s.backends.get_mut(&id)?;
        let was_enabled = record.reasons.is_empty();
        record.reasons.insert(reason);
        if !was_enabled {
            return None;
        }
        self.backend_changed(&mut s, id);
        Some(id)
    }

    /// Ends a reason. If it was the last one the backend is enabled again, as one that may have started as late as
    /// `since`. Returns false, and changes nothing, if the backend was not disabled for that reason.
    pub fn enable_backend(self: &Rc<Self>, name: &str, reason: DisableReason, since: Time) -> bool {
        let was_disabled = self.remove_reason(name, reason);
        if was_disabled {
            self.disable_reason_ended(name, since);
        }
        was_disabled
    }

    fn remove_reason(&self, name: &str, reason: DisableReason) -> bool {
        let mut s = self.state.borrow_mut();
        let Some(id) = s.ids_by_name.get(name).copied() else {
            return false;
        };
        let record = s.backends.get_mut(&id);
        record.is_some_and(|record| record.reasons.remove(reason))
    }

    /// Handles that a reason ended at `since`, in this or another process: unless another reason remains, the backend
    /// is enabled as one that started then.
    pub fn disable_reason_ended(self: &Rc<Self>, name: &str, since: Time) {
        let backend = {
            let mut s = self.state.borrow_mut();
            let Some(&id) = s.ids_by_name.get(name) else {
                return;
            };
            let reasons = s
                .backends
                .get(&id)
                .map(|record| record.reasons)
                .unwrap_or_default();
            if !reasons.is_empty() {
                info!(
                    backend = name,
                    "backend {name} stays disabled, remaining reasons: {reasons:?}"
                );
                return;
            }
            self.backend_changed(&mut s, id);
            id
        };
        self.handle_event(Event::BackendEnabled { backend, since });
    }
}
