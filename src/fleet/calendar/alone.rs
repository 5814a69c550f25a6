//! What a proxy keeps out: the holder's word, or, cut off, its own copy by its own clock.

use super::budget::Fleet;
use super::{Calendar, Wall};
use crate::fleet::lease::Ballot;
use crate::Micros;
use std::collections::BTreeSet;

/// What a proxy that was cut off decided on one occurrence.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Alone {
    occurrence: Wall,
    /// The token of the mark that it went by; a mark of another token is newer word.
    token: Option<Ballot>,
}

impl Calendar {
    /// The backends that this proxy keeps out now for windows. `heard` is how long ago any word of a holder
    /// came, a huge value where none ever did.
    pub fn out(&mut self, now: Wall, heard: Micros, fleet: &Fleet) -> BTreeSet<String> {
        let _ = (now, heard, fleet);
        todo!()
    }
}
