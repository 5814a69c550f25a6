//! When the listed backends have to be known: with a fleet of 25,000 that is not free.

use super::entry::Step;
use super::phases::SOON;
use super::{Calendar, Wall};

impl Calendar {
    /// Whether the holder, or a proxy that is cut off, may look at the listed backends now or within 5 s: a window is under
    /// way or about to be due. While it is not, [`step`](Calendar::step) and [`out`](Calendar::out) do the same
    /// whatever fleet they are given.
    pub fn needs_fleet(&self, now: Wall) -> bool {
        !self.alone.is_empty()
            || self.entries.values().any(|entry| match entry.current(now) {
                None => false,
                Some((planned, Step::Planned)) => {
                    entry.cancelled.is_none() && entry.span(planned).begin - entry.lead() <= now + SOON
                }
                Some(_) => true,
            })
    }

    /// Whether any window may keep a backend out, by the holder's word or by what this proxy decided while it was cut off.
    pub fn any_out(&self) -> bool {
        let told = |mark: &super::Mark| mark.step.is_out();
        !self.alone.is_empty() || self.entries.values().any(|entry| entry.mark.as_ref().is_some_and(told))
    }
}
