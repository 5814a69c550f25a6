//! State that survives a restart: the balancer's learned state, with names instead of ids, and the backends that
//! operators disabled. `net::state` stores it.

use super::backend_directory::DisableReason;
use super::Host;
use crate::net::state::snapshot::SavedState;
use meadowproxy::{BackendId, Event, LearnedState, Micros};
use std::rc::Rc;

impl Host {
    /// Returns the current state to be saved.
    pub fn learned_state(&self) -> SavedState {
        let s = self.state.borrow();
        let learned = s.balancer.learned_state(self.clock.now());
        let backend_name =
            |id: BackendId| s.backends.get(&id).map(|record| record.name.to_string());
        let disabled = s
            .backends
            .values()
            .filter(|record| record.reasons.contains(DisableReason::Operator));
        SavedState {
            hardware_classes: learned
                .hardware_classes
                .iter()
                .filter_map(|(kind, state)| Some((s.names.kind_name(*kind)?.into(), *state)))
                .collect(),
            classes: learned
                .classes
                .iter()
                .filter_map(|(class, state)| Some((s.names.class_name(*class)?.into(), *state)))
                .collect(),
            overall_latency: learned.overall_latency,
            backends: learned
                .backends
                .iter()
                .filter_map(|(backend, state)| Some((backend_name(*backend)?, *state)))
                .collect(),
            disabled: disabled.map(|record| record.name.to_string()).collect(),
        }
    }

    /// Restores what an earlier process saved `age` ago. Disabled backends are disabled at once; the balancer decides
    /// how much of the rest it uses. Learned state under names that this process does not know is ignored.
    pub fn restore_learned_state(self: &Rc<Self>, saved: SavedState, age: Micros) {
        for name in &saved.disabled {
            if !self.is_disabled(name, DisableReason::Operator) {
                self.disable_even_if_unlisted(name, DisableReason::Operator);
            }
        }
        let state = self.resolve_names(&saved);
        self.handle_event(Event::StateRestored {
            state: Box::new(state),
            age,
        });
    }

    fn resolve_names(&self, saved: &SavedState) -> LearnedState {
        let s = self.state.borrow();
        LearnedState {
            hardware_classes: saved
                .hardware_classes
                .iter()
                .filter_map(|(name, state)| Some((s.names.kind(name)?, *state)))
                .collect(),
            classes: saved
                .classes
                .iter()
                .filter_map(|(name, state)| Some((s.names.class(name)?, *state)))
                .collect(),
            overall_latency: saved.overall_latency,
            backends: saved
                .backends
                .iter()
                .filter_map(|(name, state)| Some((*s.ids_by_name.get(name.as_str())?, *state)))
                .collect(),
        }
    }
}
