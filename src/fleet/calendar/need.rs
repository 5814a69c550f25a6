//! When the listed backends have to be known: with a fleet of 25,000 that is not free.

use super::entry::Step;
use super::phases::SOON;
use super::{Calendar, Entry, Mark, Targets, Wall};
use std::collections::BTreeSet;

impl Calendar {
    /// Whether the holder, or a proxy that is cut off, may look at the listed backends now or within 5 s: a window is under
    /// way or about to be due. While it is not, [`step`](Calendar::step) and [`out`](Calendar::out) do the same
    /// whatever fleet they are given.
    pub fn needs_fleet(&self, now: Wall) -> bool {
        !self.alone.is_empty()
            || self.entries.values().any(|entry| match entry.current(now) {
                None => false,
                Some((planned, Step::Planned)) => {
                    entry.cancelled.is_none()
                        && entry.span(planned).begin - entry.lead() <= now + SOON
                }
                Some(_) => true,
            })
    }

    /// Whether any window may keep a backend out, by the holder's word or by what this proxy decided while it was cut off.
    pub fn any_out(&self) -> bool {
        !self.alone.is_empty() || self.told_out().next().is_some()
    }

    /// What is out, where that is known without the fleet: all is by the holder's word, and by windows that name theirs.
    pub fn named_out(&self) -> Option<BTreeSet<&str>> {
        let mut named = BTreeSet::new();
        for entry in self.told_out() {
            match &entry.spec.value.targets {
                Targets::Ids(ids) => named.extend(ids.iter().map(String::as_str)),
                _ => return None,
            }
        }
        Some(named).filter(|_| self.alone.is_empty())
    }

    /// The windows that are out by the holder's word.
    fn told_out(&self) -> impl Iterator<Item = &Entry> {
        let out = |mark: &Mark| mark.step.is_out();
        self.entries
            .values()
            .filter(move |entry| entry.mark.as_ref().is_some_and(out))
    }
}
