//! When the list of backends is needed: gathering it is not free with a fleet of 25,000.

use super::phases::CLAIM_LOOKAHEAD;
use super::{Calendar, Phase, Targets, WallTime, Window};
use std::collections::BTreeSet;

impl Calendar {
    /// Whether the lease holder, or an isolated proxy, may look at the backends now or within 5 s: a window is under way
    /// or about to be due. While it is not, [`advance`](Calendar::advance) and
    /// [`backends_in_maintenance`](Calendar::backends_in_maintenance) do the same whatever fleet they are given.
    pub fn needs_backends(&self, now: WallTime) -> bool {
        !self.isolated_decisions.is_empty()
            || self.windows.values().any(|window| {
                let Some(current) = window.current_occurrence(now) else {
                    return false;
                };
                let drains_at = window.actual_span(current.planned).begin - window.lead();
                let about_to_drain =
                    window.cancelled.is_none() && drains_at <= now + CLAIM_LOOKAHEAD;
                current.phase != Phase::Planned || about_to_drain
            })
    }

    /// Whether any window may keep requests off a backend, by the holder's decision or by an isolated one.
    pub fn any_window_in_effect(&self) -> bool {
        !self.isolated_decisions.is_empty() || self.in_effect_by_holder().next().is_some()
    }

    /// The backends in maintenance, where that is known without the fleet: by the holder's decisions only, and in
    /// windows that name their backends.
    pub fn named_backends_in_maintenance(&self) -> Option<BTreeSet<&str>> {
        let mut named = BTreeSet::new();
        for window in self.in_effect_by_holder() {
            match &window.spec.value.targets {
                Targets::Ids(ids) => named.extend(ids.iter().map(String::as_str)),
                _ => return None,
            }
        }
        Some(named).filter(|_| self.isolated_decisions.is_empty())
    }

    fn in_effect_by_holder(&self) -> impl Iterator<Item = &Window> {
        self.windows.values().filter(|window| window.is_in_effect())
    }
}
