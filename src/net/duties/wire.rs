//! The worker that takes the other proxies' messages.

use super::clock::{entries, Command, AGAIN};
use super::leases::Mail;
use super::message::{self, sound, Duties, Duty, Refused, Word};
use super::tables::Tables;
use super::wall;
use crate::net::peers::Passed;
use shaletide::fleet::calendar::{Digest, Entry, Garbled};
use std::net::SocketAddr;
use std::sync::mpsc::{Receiver, SyncSender};
use std::sync::Arc;

/// Names that are kept of one member's reports.
const MOST_REPORTED: usize = 1024;

/// Takes messages until the socket's side is gone.
pub fn run(tables: &Arc<Tables>, came: &Receiver<Passed>, clock: &SyncSender<Command>) {
    while let Ok((from, bytes)) = came.recv() {
        let mut mail = Mail::new();
        let held = tables.leases.lock().holds();
        let taken = message::decode(&bytes).and_then(|m| take(tables, from, m, &mut mail));
        tables.send(mail);
        {
            let mut outbox = tables.outbox.lock();
            outbox.received += 1;
            if let Err(why) = taken {
                outbox.refuse(from, &why);
            }
        }
        if held.is_none() && tables.leases.lock().holds().is_some() {
            let _ = clock.try_send(Command::Wake); // full: it is awake anyway
        }
    }
}

fn take(tables: &Tables, from: SocketAddr, message: Duties, mail: &mut Mail) -> Result<(), Refused> {
    tables.leases.lock().alive(from);
    match message {
        Duties::Lease { duty: Duty::Calendar, message } => tables.leases.lock().message(from, message, mail),
        Duties::Digest { words, digest, new, ask } => {
            digested(tables, from, &words, &digest, (new, ask), mail);
            Ok(())
        }
        Duties::Ask { ids } => {
            let asked = tables.calendar.lock().calendar.asked(&ids, wall());
            mail.extend(entries(asked).into_iter().map(|entries| (from, Duties::Entries { entries })));
            Ok(())
        }
        Duties::Entries { entries } => merge(tables, &entries, mail),
        Duties::Effect { duty: Duty::Calendar, token, entries } => {
            tables.leases.lock().effect(from, token, mail)?;
            merge(tables, &entries, mail)
        }
        Duties::Fenced { duty: Duty::Calendar, highest } => {
            tables.leases.lock().learn(highest, mail);
            Ok(())
        }
        Duties::Report { open } => {
            tables.roster.lock().report(from, open, MOST_REPORTED);
            Ok(())
        }
    }
}

/// Learns what another proxy knows, and gives and asks for what either lacks.
fn digested(
    tables: &Tables, from: SocketAddr, words: &[Word], digest: &Digest, (new, ask): (bool, bool),
    mail: &mut Mail,
) {
    {
        let mut leases = tables.leases.lock();
        words.iter().for_each(|word| leases.word(word, mail));
        if ask {
            mail.extend(digests(tables, leases.words(), false).into_iter().map(|m| (from, m)));
        }
    }
    let seen = tables.roster.lock().seen.is_some();
    let (lacking, covered) = {
        let mut windows = tables.calendar.lock();
        let lacking = windows.calendar.lacking(digest, wall());
        // Another new proxy knows as little as this one.
        let covered = seen && !new && lacking.ask.is_empty() && windows.cover(digest);
        (lacking, covered)
    };
    if !lacking.ask.is_empty() {
        mail.push((from, Duties::Ask { ids: lacking.ask }));
    }
    mail.extend(entries(lacking.send).into_iter().map(|entries| (from, Duties::Entries { entries })));
    if covered {
        tables.ready();
    }
}

/// All that this proxy knows, for others that may know less.
pub fn digests(tables: &Tables, words: Vec<Word>, ask: bool) -> Vec<Duties> {
    let windows = tables.calendar.lock();
    let (digests, new) = (windows.calendar.digests(wall()), windows.covered.is_some());
    let said = |digest| Duties::Digest { words: words.clone(), digest, new, ask };
    digests.into_iter().map(said).collect()
}

/// Takes entries: each that is sound, whatever the others are; the first that is not is the complaint.
fn merge(tables: &Tables, entries: &[Vec<u8>], mail: &mut Mail) -> Result<(), Refused> {
    let now = wall();
    let mut wrong = None;
    let decode = |bytes: &Vec<u8>| {
        let entry = Entry::decode(bytes, now).map_err(refused)?;
        entry.mark.as_ref().map_or(Ok(()), |mark| sound(mark.token)).map(|()| entry)
    };
    let (changed, highest) = {
        let mut windows = tables.calendar.lock();
        let mut changed = false;
        for bytes in entries {
            let merged = decode(bytes).and_then(|e| windows.calendar.merge(&e, now).map_err(refused));
            match merged {
                Ok(news) => changed |= news,
                Err(e) => drop(wrong.get_or_insert(e)),
            }
        }
        (changed, windows.calendar.highest())
    };
    if changed {
        if highest != Default::default() {
            tables.leases.lock().learn(highest, mail);
        }
        tables.derive();
    }
    wrong.map_or(Ok(()), Err)
}

fn refused(why: Garbled) -> Refused {
    match why {
        Garbled::Full => Refused::Full,
        Garbled::Bytes => Refused::Entry("does not decode".into()),
        Garbled::Field(why) => Refused::Entry(why.to_string()),
    }
}

/// What operators changed here goes to all members.
pub fn spread_edits(tables: &Tables, changed: Vec<Entry>) {
    let messages = entries(changed).into_iter().map(|entries| Duties::Entries { entries }).collect();
    tables.spread(messages, &AGAIN);
}

#[cfg(test)]
mod tests {
    use super::super::door::{answer, Call};
    use super::super::message::tests::message;
    use super::super::tables::Windows;
    use super::super::Effect;
    use super::*;
    use bytes::Bytes;
    use hyper::{Method, StatusCode};
    use proptest::prelude::*;
    use shaletide::fleet::calendar::{Put, Spec, Stamp};
    use std::collections::BTreeSet;

    proptest! {
        /// Whatever members and strangers say, in any order: nothing panics, no lock is taken out of order, the highest token
        /// never falls, and the window that is there stays as it was.
        #[test]
        fn no_words_break_the_tables(said in prop::collection::vec((9u16..14, message()), 1..40)) {
            let (tables, _told) = Tables::example();
            let spec = Spec::from_json(br#"{"ids":["a"],"begin":"2099-01-01T00:00:00Z","end":"2099-01-01T01:00:00Z","by":"x"}"#);
            let stamp = Stamp { at: wall(), by: 1 };
            let put = tables.calendar.lock().calendar.put("w", spec.unwrap(), stamp, wall());
            prop_assert_eq!(put, Ok(Put::New));
            let window = |tables: &Tables| tables.calendar.lock().calendar.get("w").cloned();
            let (before, mut highest) = (window(&tables), None);
            for (port, message) in said {
                let mut mail = Mail::new();
                let _ = take(&tables, SocketAddr::from(([127, 0, 0, 1], port)), message, &mut mail);
                mail.iter().for_each(|(_, answer)| drop(message::decode(&message::encode(answer)).unwrap()));
                tables.leases.lock().tick(&mut mail);
                tables.derive();
                let call = Call { method: Method::GET, path: vec!["duties".into()], body: Bytes::new() };
                prop_assert_eq!(answer(&tables, &call).0, StatusCode::OK);
                let token = tables.leases.lock().words().first().map(|word| word.token);
                prop_assert!(token >= highest, "{token:?} after {highest:?}");
                highest = token;
            }
            prop_assert_eq!(window(&tables), before);
        }
    }

    /// A proxy that starts is covered only once the ranges that were shown to it leave no gap, in whatever order.
    #[test]
    fn only_ranges_without_a_gap_cover_the_calendar() {
        let (tables, _told) = Tables::example();
        let calendar = tables.calendar.lock().calendar.clone();
        let covers = |ranges: &[(u64, u64)]| {
            let mut windows =
                Windows { calendar: calendar.clone(), out: BTreeSet::new(), covered: Some(Vec::new()) };
            let last = ranges
                .iter()
                .map(|(from, to)| windows.cover(&Digest { from: *from, to: *to, rows: Vec::new() }));
            last.last().unwrap_or_default()
        };
        assert!(covers(&[(0, u64::MAX)]) && covers(&[(6, u64::MAX), (0, 5)]));
        assert!(covers(&[(0, 9), (3, 5), (10, u64::MAX)]), "one inside another");
        assert!(
            !covers(&[(0, 5), (7, u64::MAX)]) && !covers(&[(1, u64::MAX)]) && !covers(&[(0, u64::MAX - 1)])
        );
    }
    /// Who starts takes part on the word of one that does, and not of another that has just started.
    #[test]
    fn newcomers_do_not_confirm_each_other() {
        let (tables, mut told) = Tables::example();
        let mut hear = |new| {
            let digest = Digest { from: 0, to: u64::MAX, rows: Vec::new() };
            let said = Duties::Digest { words: Vec::new(), digest, new, ask: false };
            take(&tables, SocketAddr::from(([127, 0, 0, 1], 10)), said, &mut Mail::new()).unwrap();
            matches!(told.try_recv(), Ok(Effect::Ready))
        };
        assert!(!hear(true));
        assert!(hear(false));
        assert!(!hear(false), "once");
    }
}
