//! Determines when the calendar needs the list of backends, as it is expensive to gather for 25,000 backends.

use super::phases::CLAIM_LOOKAHEAD;
use super::{Calendar, Phase, Targets, WallTime, Window};
use std::collections::BTreeSet;

impl Calendar {
    /// Whether the lease holder or an isolated proxy may need the list of backends now or within 5 s: a window is in
    /// progress or about to be due. Otherwise, the results of [`advance`](Calendar::advance) and
    /// [`backends_in_maintenance`](Calendar::backends_in_maintenance) don't depend on the list.
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

    /// Whether any window may have a backend in maintenance, by a decision of the lease holder or of this proxy while
    /// it was isolated.
    pub fn any_window_in_effect(&self) -> bool {
        !self.isolated_decisions.is_empty() || self.in_effect_by_holder().next().is_some()
    }

    /// The backends in maintenance, if they can be determined without the list of backends: there are decisions of the
    /// lease holder only, and all windows in effect name their backends.
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

    /// The windows that are in effect by the lease holder's decision.
    fn in_effect_by_holder(&self) -> impl Iterator<Item = &Window> {
        self.windows.values().filter(|window| window.is_in_effect())
    }
}
