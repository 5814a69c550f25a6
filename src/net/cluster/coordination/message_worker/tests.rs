//! Messages of other proxies and of strangers, taken in random orders.

use super::super::admin_calls::handle_call;
use super::super::call::Call;
use super::super::maintenance::MaintenanceState;
use super::super::message::tests::message;
use super::super::message::HeldDuty;
use super::super::request_loop::Effect;
use super::*;
use bytes::Bytes;
use hyper::{Method, StatusCode};
use meadowproxy::fleet::calendar::{CallOutcome, Spec, Version};
use meadowproxy::fleet::lease::Ballot;
use meadowproxy::fleet::relay::HashRange;
use proptest::prelude::*;

proptest! {
    /// Whatever members and strangers send, in any order: nothing panics, no lock is taken out of order, the highest token
    /// never falls, and the window that is there stays as it was.
    #[test]
    fn no_messages_break_the_tables(messages in prop::collection::vec((9u16..14, message()), 1..40)) {
        let (shared, _effects) = SharedState::example();
        let spec = Spec::from_json(br#"{"ids":["a"],"begin":"2099-01-01T00:00:00Z","end":"2099-01-01T01:00:00Z","by":"x"}"#);
        let stamp = Version { called_at: wall_now(), incarnation: 1 };
        let put = shared.maintenance.lock().calendar.put("w", spec.unwrap(), stamp, wall_now());
        prop_assert_eq!(put, Ok(CallOutcome::Changed));
        let window = |shared: &SharedState| shared.maintenance.lock().calendar.get("w").cloned();
        let (before, mut highest) = (window(&shared), None);
        for (port, message) in messages {
            let mut outgoing = DutyMessages::new();
            let _ = handle(&shared, SocketAddr::from(([127, 0, 0, 1], port)), message, &mut outgoing);
            outgoing.iter().for_each(|(_, answer)| drop(message::decode(&message::encode(answer)).unwrap()));
            shared.calendar_lease.lock().tick(&mut outgoing);
            shared.update_maintenance();
            let call = Call { method: Method::GET, path: vec!["duties".into()], body: Bytes::new() };
            prop_assert_eq!(handle_call(&shared, &call).0, StatusCode::OK);
            let token = shared.calendar_lease.lock().token_reports().first().map(|word| word.token);
            prop_assert!(token >= highest, "{token:?} after {highest:?}");
            highest = token;
        }
        prop_assert_eq!(window(&shared), before);
    }
}

/// A proxy that starts is covered only once the ranges that were shown to it leave no gap, in whatever order.
#[test]
fn only_ranges_without_a_gap_cover_the_calendar() {
    let (shared, _effects) = SharedState::example();
    let calendar = shared.maintenance.lock().calendar.clone();
    let covers = |ranges: &[(u64, u64)]| {
        let mut windows = MaintenanceState::new(calendar.clone());
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

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn token_of(port: u16, number: u64) -> Ballot {
    Ballot {
        number,
        incarnation: u64::from(port),
    }
}

/// A heartbeat of the proxy at that port, to be relayed.
fn heartbeat(port: u16, number: u64, said_us: u64) -> DutyMessage {
    let part = HashRange {
        first: 0,
        last: u32::MAX,
        hops: 1,
    };
    let header = BroadcastHeader {
        origin: address(port),
        incarnation: u64::from(port),
        sent_us: said_us,
        range: part,
    };
    let held = HeldDuty {
        duty: Duty::Calendar,
        token: token_of(port, number),
    };
    let announcement = Announcement {
        held: vec![held],
        windows: Vec::new(),
    };
    DutyMessage::Broadcast(header, announcement)
}

/// A holder's heartbeat counts as the holder's, whoever relayed it. One that a newer one overtook makes the holder's
/// last heartbeat no younger, one that came before or that has a lower token changes nothing, and the former holder
/// itself is notified.
#[test]
fn a_relayed_heartbeat_proves_no_more_than_the_holders_own() {
    let (shared, _effects) = SharedState::example();
    let now = wall_now().0;
    let relay = |port, number, said_us| {
        let mut outgoing = DutyMessages::new();
        let message = heartbeat(port, number, said_us);
        let handled = handle(&shared, address(12), message, &mut outgoing);
        (handled.map_err(|error| error.cause()), outgoing)
    };
    let holder = || shared.calendar_lease.lock().holder();
    assert_eq!(relay(10, 5, now), (Ok(()), Vec::new()));
    assert_eq!(holder(), Some(address(10)), "not the one that relayed it");
    std::thread::sleep(std::time::Duration::from_millis(20));
    assert_eq!(
        relay(10, 5, now - 1),
        (Ok(()), Vec::new()),
        "its content counts"
    );
    assert_eq!(relay(10, 5, now).0, Err("repeated"));
    assert!(
        shared.calendar_lease.lock().since_heartbeat() >= meadowproxy::Micros(20_000),
        "an overtaken heartbeat counted as a new one"
    );
    let fenced = DutyMessage::Fenced {
        duty: Duty::Calendar,
        highest: token_of(10, 5),
    };
    assert_eq!(
        relay(11, 4, now),
        (Err("token"), vec![(address(11), fenced)])
    );
    assert_eq!(holder(), Some(address(10)));
}

/// A proxy that starts has caught up after the digest of one that takes part, not of another that has just started.
#[test]
fn newcomers_do_not_confirm_each_other() {
    let (shared, mut effects) = SharedState::example();
    let mut caught_up_after = |is_new| {
        let digest = Digest {
            from: 0,
            to: u64::MAX,
            rows: Vec::new(),
        };
        let message = DutyMessage::Digest {
            tokens: Vec::new(),
            digest,
            is_new,
            wants_reply: false,
        };
        handle(&shared, address(10), message, &mut DutyMessages::new()).unwrap();
        matches!(effects.try_recv(), Ok(Effect::CaughtUp))
    };
    assert!(!caught_up_after(true));
    assert!(caught_up_after(false));
    assert!(!caught_up_after(false), "once");
}
