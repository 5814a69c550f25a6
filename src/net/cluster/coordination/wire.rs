//! The worker that takes the other proxies' messages.

use super::clock::{entries, Command, AGAIN};
use super::leases::{Leases, Mail};
use super::message::{self, sound, Duties, Duty, Refused, Said, Word};
use super::tables::Tables;
use super::wall;
use crate::net::cluster::gossip::Passed;
use meadowproxy::fleet::calendar::{Digest, Window, WindowError};
use meadowproxy::fleet::lease::Token;
use meadowproxy::fleet::relay::Header;
use std::net::SocketAddr;
use std::sync::mpsc::{Receiver, SyncSender};
use std::sync::Arc;

/// Names that are kept of one member's reports.
const MOST_REPORTED: usize = 1024;

/// Takes messages until the socket's side is gone.
pub fn run(tables: &Arc<Tables>, came: &Receiver<Passed>, clock: &SyncSender<Command>) {
    while let Ok((from, bytes)) = came.recv() {
        let mut mail = Mail::new();
        let held = holds(tables);
        let taken = message::decode(&bytes).and_then(|m| take(tables, from, m, &mut mail));
        tables.send(mail);
        {
            let mut outbox = tables.outbox.lock();
            outbox.received += 1;
            if let Err(why) = taken {
                outbox.refuse(from, &why);
            }
        }
        if held != holds(tables) {
            let _ = clock.try_send(Command::Wake); // full: it is awake anyway
        }
    }
}

/// The tokens of the duties that this proxy holds.
fn holds(tables: &Tables) -> [Option<Token>; 2] {
    [
        tables.leases.lock().holds(),
        tables.config.lock().leases.holds(),
    ]
}

/// The same on the duty's own table.
fn leases<T>(tables: &Tables, duty: Duty, act: impl FnOnce(&mut Leases) -> T) -> T {
    match duty {
        Duty::Calendar => act(&mut tables.leases.lock()),
        Duty::Config => act(&mut tables.config.lock().leases),
    }
}

fn take(
    tables: &Tables,
    from: SocketAddr,
    message: Duties,
    mail: &mut Mail,
) -> Result<(), Refused> {
    [Duty::Calendar, Duty::Config]
        .iter()
        .for_each(|duty| leases(tables, *duty, |l| l.alive(from)));
    match message {
        Duties::Lease { duty, message } => leases(tables, duty, |l| l.message(from, message, mail)),
        Duties::Digest {
            words,
            digest,
            new,
            ask,
        } => {
            digested(tables, from, &words, &digest, (new, ask), mail);
            Ok(())
        }
        Duties::Ask { ids } => {
            let asked = tables.calendar.lock().calendar.requested(&ids, wall());
            mail.extend(
                entries(asked)
                    .into_iter()
                    .map(|entries| (from, Duties::Entries { entries })),
            );
            Ok(())
        }
        Duties::Entries { entries } => merge(tables, &entries, mail),
        Duties::Broadcast(header, said) => broadcast(tables, &header, said, mail),
        Duties::Fenced { duty, highest } => {
            leases(tables, duty, |l| l.learn(highest, mail));
            Ok(())
        }
        Duties::Config(message) => tables.configured(from, message).map_err(Refused::Config),
        Duties::Report { open } => {
            tables.roster.lock().report(from, open, MOST_REPORTED);
            Ok(())
        }
    }
}

/// Takes what one proxy says to all, and passes it on; not what stands under a token that a higher one followed.
fn broadcast(
    tables: &Tables,
    header: &Header,
    mut said: Said,
    mail: &mut Mail,
) -> Result<(), Refused> {
    let newest = tables
        .relay
        .lock()
        .take(header, wall().0)
        .map_err(Refused::Broadcast)?;
    let tokens = said.tokens.len();
    said.tokens.retain(|(duty, token)| {
        leases(tables, *duty, |l| {
            l.effect(header.origin, *token, newest, mail)
        })
        .is_ok()
    });
    let late = said.tokens.len() < tokens;
    if late {
        said.entries.clear();
    }
    if !said.tokens.is_empty() || !said.entries.is_empty() {
        tables.pass_on(header, &said);
    }
    merge(tables, &said.entries, mail)?;
    match late {
        true => Err(Refused::Token),
        false => Ok(()),
    }
}

/// Learns what another proxy knows, and gives and asks for what either lacks.
fn digested(
    tables: &Tables,
    from: SocketAddr,
    words: &[Word],
    digest: &Digest,
    (new, ask): (bool, bool),
    mail: &mut Mail,
) {
    words
        .iter()
        .for_each(|word| leases(tables, word.duty, |l| l.word(word, mail)));
    if ask {
        mail.extend(digests(tables, false).into_iter().map(|m| (from, m)));
    }
    let seen = tables.roster.lock().seen.is_some();
    let (lacking, covered) = {
        let mut windows = tables.calendar.lock();
        let lacking = windows.calendar.compare(digest, wall());
        // Another new proxy knows as little as this one.
        let covered = seen && !new && lacking.to_request.is_empty() && windows.cover(digest);
        (lacking, covered)
    };
    if !lacking.to_request.is_empty() {
        mail.push((
            from,
            Duties::Ask {
                ids: lacking.to_request,
            },
        ));
    }
    mail.extend(
        entries(lacking.to_send)
            .into_iter()
            .map(|entries| (from, Duties::Entries { entries })),
    );
    if covered {
        tables.ready();
    }
}

/// All that this proxy knows, for others that may know less.
pub fn digests(tables: &Tables, ask: bool) -> Vec<Duties> {
    let mut words = tables.leases.lock().words();
    words.extend(tables.config.lock().leases.words());
    let windows = tables.calendar.lock();
    let (digests, new) = (windows.calendar.digests(wall()), windows.covered.is_some());
    let said = |digest| Duties::Digest {
        words: words.clone(),
        digest,
        new,
        ask,
    };
    digests.into_iter().map(said).collect()
}

/// Takes entries: each that is sound, whatever the others are; the first that is not is the complaint.
fn merge(tables: &Tables, entries: &[Vec<u8>], mail: &mut Mail) -> Result<(), Refused> {
    let now = wall();
    let mut wrong = None;
    let decode = |bytes: &Vec<u8>| {
        let entry = Window::decode(bytes, now).map_err(refused)?;
        entry
            .progress
            .as_ref()
            .map_or(Ok(()), |mark| sound(mark.token))
            .map(|()| entry)
    };
    let (changed, highest) = {
        let mut windows = tables.calendar.lock();
        let mut changed = false;
        for bytes in entries {
            let merged =
                decode(bytes).and_then(|e| windows.calendar.merge(&e, now).map_err(refused));
            match merged {
                Ok(news) => changed |= news,
                Err(e) => drop(wrong.get_or_insert(e)),
            }
        }
        (changed, windows.calendar.highest_token())
    };
    if changed {
        if highest != Default::default() {
            tables.leases.lock().learn(highest, mail);
        }
        tables.derive();
    }
    wrong.map_or(Ok(()), Err)
}

fn refused(why: WindowError) -> Refused {
    match why {
        WindowError::Full => Refused::Full,
        WindowError::Malformed => Refused::Entry("does not decode".into()),
        WindowError::Field(why) => Refused::Entry(why.to_string()),
    }
}

/// What operators changed here goes to all members.
pub fn spread_edits(tables: &Tables, changed: Vec<Window>) {
    let said = |entries| Said {
        tokens: Vec::new(),
        entries,
    };
    tables.spread(entries(changed).into_iter().map(said).collect(), &AGAIN);
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
    use meadowproxy::fleet::calendar::{CallOutcome, Spec, Version};
    use meadowproxy::fleet::lease::Ballot;
    use meadowproxy::fleet::relay::Part;
    use proptest::prelude::*;
    use std::collections::BTreeSet;

    proptest! {
        /// Whatever members and strangers say, in any order: nothing panics, no lock is taken out of order, the highest token
        /// never falls, and the window that is there stays as it was.
        #[test]
        fn no_words_break_the_tables(said in prop::collection::vec((9u16..14, message()), 1..40)) {
            let (tables, _told) = Tables::example();
            let spec = Spec::from_json(br#"{"ids":["a"],"begin":"2099-01-01T00:00:00Z","end":"2099-01-01T01:00:00Z","by":"x"}"#);
            let stamp = Version { called_at: wall(), incarnation: 1 };
            let put = tables.calendar.lock().calendar.put("w", spec.unwrap(), stamp, wall());
            prop_assert_eq!(put, Ok(CallOutcome::Changed));
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
            let mut windows = Windows {
                calendar: calendar.clone(),
                out: BTreeSet::new(),
                covered: Some(Vec::new()),
            };
            let last = ranges.iter().map(|(from, to)| {
                windows.cover(&Digest {
                    from: *from,
                    to: *to,
                    rows: Vec::new(),
                })
            });
            last.last().unwrap_or_default()
        };
        assert!(covers(&[(0, u64::MAX)]) && covers(&[(6, u64::MAX), (0, 5)]));
        assert!(
            covers(&[(0, 9), (3, 5), (10, u64::MAX)]),
            "one inside another"
        );
        assert!(
            !covers(&[(0, 5), (7, u64::MAX)])
                && !covers(&[(1, u64::MAX)])
                && !covers(&[(0, u64::MAX - 1)])
        );
    }

    /// A holder's word counts as the holder's, whoever passed it on. One that a newer one overtook makes the holder no younger, one that
    /// came before or that stands under a lower token changes nothing, and the late holder itself is told.
    #[test]
    #[expect(
        clippy::too_many_lines,
        reason = "issue 32: code that reads as well as it works"
    )]
    fn a_word_that_was_passed_on_proves_no_more_than_the_holders_own() {
        let (tables, _told) = Tables::example();
        let at = |port| SocketAddr::from(([127, 0, 0, 1], port));
        let part = Part {
            from: 0,
            to: u32::MAX,
            hops: 1,
        };
        let now = wall().0;
        let say = |port, number, said_us| {
            let header = Header {
                origin: at(port),
                incarnation: u64::from(port),
                said_us,
                part,
            };
            let tokens = vec![(
                Duty::Calendar,
                Ballot {
                    number,
                    incarnation: u64::from(port),
                },
            )];
            let mut mail = Mail::new();
            let said = Duties::Broadcast(
                header,
                Said {
                    tokens,
                    entries: Vec::new(),
                },
            );
            (
                take(&tables, at(12), said, &mut mail).map_err(|why| why.cause()),
                mail,
            )
        };
        let holder = || tables.leases.lock().holder();
        assert_eq!(say(10, 5, now), (Ok(()), Vec::new()));
        assert_eq!(holder(), Some(at(10)), "not who passed it on");
        std::thread::sleep(std::time::Duration::from_millis(20));
        assert_eq!(
            say(10, 5, now - 1),
            (Ok(()), Vec::new()),
            "its content counts"
        );
        assert_eq!(say(10, 5, now).0, Err("repeated"));
        assert!(
            tables.leases.lock().heard() >= meadowproxy::Micros(20_000),
            "an overtaken word counted as heard"
        );
        let (refused, told) = say(11, 4, now);
        let highest = Ballot {
            number: 5,
            incarnation: 10,
        };
        assert_eq!(
            (refused, told),
            (
                Err("token"),
                vec![(
                    at(11),
                    Duties::Fenced {
                        duty: Duty::Calendar,
                        highest
                    }
                )]
            )
        );
        assert_eq!(holder(), Some(at(10)));
    }

    /// Who starts takes part on the word of one that does, and not of another that has just started.
    #[test]
    fn newcomers_do_not_confirm_each_other() {
        let (tables, mut told) = Tables::example();
        let mut hear = |new| {
            let digest = Digest {
                from: 0,
                to: u64::MAX,
                rows: Vec::new(),
            };
            let said = Duties::Digest {
                words: Vec::new(),
                digest,
                new,
                ask: false,
            };
            take(
                &tables,
                SocketAddr::from(([127, 0, 0, 1], 10)),
                said,
                &mut Mail::new(),
            )
            .unwrap();
            matches!(told.try_recv(), Ok(Effect::Ready))
        };
        assert!(!hear(true));
        assert!(hear(false));
        assert!(!hear(false), "once");
    }
}
