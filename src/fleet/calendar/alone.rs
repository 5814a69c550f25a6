//! What a proxy keeps out: the holder's word, or, cut off, its own copy by its own clock.
//!
//! A proxy that heard no holder for over `max_age` is cut off. It then does for itself what the holder does
//! for all, with the roster it sees: a window that is due and fits the budget goes out from its lead on, and
//! each window that is out comes back at its end, overrun or not. It remembers what it decided so, as a
//! budget asked again in the middle of a window could bring a backend back into it; this holds until the
//! holder's next word on that window; a proxy that comes to hold the duty itself takes it over.

use super::budget::{Fleet, Tally};
use super::entry::{Entry, Step};
use super::{Calendar, Wall};
use crate::fleet::lease::Token;
use crate::Micros;
use std::collections::BTreeSet;

/// What a proxy that was cut off decided on one occurrence: out until its end, then back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Alone {
    occurrence: Wall,
    /// The holder's word at that time; another one is newer.
    word: Option<Word>,
}

type Word = (Wall, Token, Step, Wall);

fn word(entry: &Entry) -> Option<Word> {
    entry
        .mark
        .as_ref()
        .map(|m| (m.occurrence, m.token, m.step, m.at))
}

impl Calendar {
    /// The backends that this proxy keeps out now for windows. `heard` is how long ago any word of a holder
    /// came, a huge value where none ever did.
    pub fn out(&mut self, now: Wall, heard: Micros, fleet: &Fleet) -> BTreeSet<String> {
        let entries = &self.entries;
        self.alone
            .retain(|id, alone| entries.get(id).is_some_and(|e| word(e) == alone.word));
        if heard > self.rules.max_age {
            self.decide_alone(now, fleet);
        }
        let kept = self
            .entries
            .values()
            .filter(|entry| self.keeps_out(entry, now));
        kept.flat_map(|e| e.spec.value.targets.names(fleet))
            .map(String::from)
            .collect()
    }

    /// The windows that are out only because this proxy decided so, each with its occurrence.
    pub(super) fn out_alone(&self, now: Wall) -> Vec<(String, Wall)> {
        let of = |(id, alone): (&String, &Alone)| {
            let entry = self.entries.get(id).filter(|e| word(e) == alone.word)?;
            let told = entry.mark.as_ref().is_some_and(|m| m.step.is_out());
            (!told && self.keeps_out(entry, now)).then(|| (id.clone(), alone.occurrence))
        };
        self.alone.iter().filter_map(of).collect()
    }

    fn keeps_out(&self, entry: &Entry, now: Wall) -> bool {
        match self.alone.get(&entry.id) {
            Some(alone) => {
                let planned = entry.planned(alone.occurrence);
                entry.cancelled.is_none()
                    && planned.is_some_and(|planned| now < entry.span(planned).end)
            }
            None => entry.mark.as_ref().is_some_and(|m| m.step.is_out()),
        }
    }

    fn decide_alone(&mut self, now: Wall, fleet: &Fleet) {
        // What the copy says is out comes back at its end, or once a cancel has reached the copy.
        for entry in self.entries.values() {
            let mark = entry.mark.as_ref().filter(|m| m.step.is_out());
            let Some(mark) = mark.filter(|_| !self.alone.contains_key(&entry.id)) else {
                continue;
            };
            let over = entry
                .planned(mark.occurrence)
                .is_none_or(|planned| now >= entry.span(planned).end);
            if over || entry.cancelled.is_some() {
                let alone = Alone {
                    occurrence: mark.occurrence,
                    word: word(entry),
                };
                self.alone.insert(entry.id.clone(), alone);
            }
        }
        let mut due = Vec::new();
        for entry in self
            .entries
            .values()
            .filter(|e| e.cancelled.is_none() && !self.keeps_out(e, now))
        {
            let Some(planned) = entry.next(now) else {
                continue;
            };
            let span = entry.span(planned);
            let mark = entry
                .mark
                .as_ref()
                .filter(|m| m.occurrence == planned.begin);
            let begun = mark.is_some_and(|m| m.step != Step::Planned);
            if !begun && span.begin - entry.lead() <= now && now + entry.lead() < span.end {
                due.push((span.begin, planned.begin, entry));
            }
        }
        if due.is_empty() {
            return; // to count the whole fleet is not free
        }
        due.sort_by_key(|(begin, _, entry)| (*begin, entry.id.as_str()));
        let held = self.entries.values().filter(|e| self.keeps_out(e, now));
        let held = held
            .flat_map(|e| e.spec.value.targets.names(fleet))
            .collect();
        let mut tally = Tally::new(fleet, self.rules.budget, held);
        let mut begun = Vec::new();
        for (_, occurrence, entry) in due {
            if tally
                .take(&entry.id, entry.spec.value.targets.names(fleet))
                .is_ok()
            {
                begun.push((
                    entry.id.clone(),
                    Alone {
                        occurrence,
                        word: word(entry),
                    },
                ));
            }
        }
        self.alone.extend(begun);
    }
}
