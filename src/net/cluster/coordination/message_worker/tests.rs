//! Messages of other proxies and of strangers, taken in random orders.

use super::super::admin_calls::answer;
use super::super::call::Call;
use super::super::maintenance::Maintenance;
use super::super::message::tests::message;
use super::super::message::HeldDuty;
use super::super::request_loop::Effect;
use super::*;
use bytes::Bytes;
use hyper::{Method, StatusCode};
use meadowproxy::fleet::calendar::{CallOutcome, Spec, Version};
use meadowproxy::fleet::lease::Ballot;
use meadowproxy::fleet::relay::Part;
use proptest::prelude::*;

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
            let mut mail = Outgoing::new();
            let _ = handle(&tables, SocketAddr::from(([127, 0, 0, 1], port)), message, &mut mail);
            mail.iter().for_each(|(_, answer)| drop(message::decode(&message::encode(answer)).unwrap()));
            tables.leases.lock().tick(&mut mail);
            tables.update_maintenance();
            let call = Call { method: Method::GET, path: vec!["duties".into()], body: Bytes::new() };
            prop_assert_eq!(answer(&tables, &call).0, StatusCode::OK);
            let token = tables.leases.lock().token_reports().first().map(|word| word.token);
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
        let mut windows = Maintenance::new(calendar.clone());
        let last = ranges.iter().map(|(from, to)| {
            windows.record_compared(&Digest {
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
        let tokens = vec![HeldDuty {
            duty: Duty::Calendar,
            token: Ballot {
                number,
                incarnation: u64::from(port),
            },
        }];
        let mut mail = Outgoing::new();
        let said = DutyMessage::Broadcast(
            header,
            Announcement {
                held: tokens,
                windows: Vec::new(),
            },
        );
        (
            handle(&tables, at(12), said, &mut mail).map_err(|why| why.cause()),
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
        tables.leases.lock().since_heartbeat() >= meadowproxy::Micros(20_000),
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
                DutyMessage::Fenced {
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
        let said = DutyMessage::Digest {
            tokens: Vec::new(),
            digest,
            is_new: new,
            wants_reply: false,
        };
        handle(
            &tables,
            SocketAddr::from(([127, 0, 0, 1], 10)),
            said,
            &mut Outgoing::new(),
        )
        .unwrap();
        matches!(told.try_recv(), Ok(Effect::CaughtUp))
    };
    assert!(!hear(true));
    assert!(hear(false));
    assert!(!hear(false), "once");
}
