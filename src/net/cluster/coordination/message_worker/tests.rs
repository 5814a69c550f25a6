//! Tests of handling messages, from members of the fleet and from other senders.

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
    /// Random messages from members and other senders, in any order, cause no panic, take no lock out of order, never
    /// lower the highest token, and leave an existing window unchanged.
    #[test]
    fn random_messages_keep_the_shared_state_consistent(messages in prop::collection::vec((9u16..14, message()), 1..40)) {
        let (shared, _effects) = SharedState::example();
        let spec = Spec::from_json(br#"{"ids":["a"],"begin":"2099-01-01T00:00:00Z","end":"2099-01-01T01:00:00Z","by":"x"}"#);
        let version = Version { called_at: wall_now(), incarnation: 1 };
        let put = shared.maintenance.lock().calendar.put("w", spec.unwrap(), version, wall_now());
        prop_assert_eq!(put, Ok(CallOutcome::Changed));
        let window = |shared: &SharedState| shared.maintenance.lock().calendar.get("w").cloned();
        let (before, mut highest) = (window(&shared), None);
        for (port, message) in messages {
            let mut outgoing = DutyMessages::new();
            let _ = handle(&shared, SocketAddr::from(([127, 0, 0, 1], port)), message, &mut outgoing);
            outgoing.iter().for_each(|(_, reply)| drop(message::decode(&message::encode(reply)).unwrap()));
            shared.calendar_lease.lock().tick(&mut outgoing);
            shared.update_maintenance();
            let call = Call { method: Method::GET, path: vec!["duties".into()], body: Bytes::new() };
            prop_assert_eq!(handle_call(&shared, &call).0, StatusCode::OK);
            let token = shared.calendar_lease.lock().token_reports().first().map(|report| report.token);
            prop_assert!(token >= highest, "the highest token fell from {highest:?} to {token:?}");
            highest = token;
        }
        prop_assert_eq!(window(&shared), before);
    }
}

/// A proxy that starts has caught up with the calendar only once the compared ranges leave no gap, in any order.
#[test]
fn only_ranges_without_gaps_cover_the_calendar() {
    let (shared, _effects) = SharedState::example();
    let calendar = shared.maintenance.lock().calendar.clone();
    let covers = |ranges: &[(u64, u64)]| {
        let mut maintenance = MaintenanceState::new(calendar.clone());
        let covered = ranges.iter().map(|(from, to)| {
            maintenance.record_compared(&Digest {
                from: *from,
                to: *to,
                rows: Vec::new(),
            })
        });
        covered.last().unwrap_or_default()
    };
    assert!(covers(&[(0, u64::MAX)]) && covers(&[(6, u64::MAX), (0, 5)]));
    assert!(
        covers(&[(0, 9), (3, 5), (10, u64::MAX)]),
        "a range inside another one"
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

/// A heartbeat that the proxy at `port` sent at `sent_us` on the wall clock.
fn heartbeat(port: u16, number: u64, sent_us: u64) -> DutyMessage {
    let range = HashRange {
        first: 0,
        last: u32::MAX,
        hops: 1,
    };
    let header = BroadcastHeader {
        origin: address(port),
        incarnation: u64::from(port),
        sent_us,
        range,
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

/// A relayed heartbeat counts as the holder's, whichever proxy relayed it. One that arrives after a newer one does not
/// renew the holder's last heartbeat, a repeated one is rejected, and one with a lower token is rejected and the former
/// holder notified.
#[test]
fn a_relayed_heartbeat_counts_as_the_holders_own_unless_it_is_old() {
    let (shared, _effects) = SharedState::example();
    let now = wall_now().0;
    let relay = |port, number, sent_us| {
        let mut outgoing = DutyMessages::new();
        let message = heartbeat(port, number, sent_us);
        let handled = handle(&shared, address(12), message, &mut outgoing);
        (handled.map_err(|error| error.cause()), outgoing)
    };
    let holder = || shared.calendar_lease.lock().holder();
    assert_eq!(relay(10, 5, now), (Ok(()), Vec::new()));
    assert_eq!(
        holder(),
        Some(address(10)),
        "the holder is the origin of the heartbeat, not the proxy that relayed it"
    );
    std::thread::sleep(std::time::Duration::from_millis(20));
    assert_eq!(
        relay(10, 5, now - 1),
        (Ok(()), Vec::new()),
        "an older heartbeat of the same holder was rejected"
    );
    assert_eq!(relay(10, 5, now).0, Err("repeated"));
    assert!(
        shared.calendar_lease.lock().since_heartbeat() >= meadowproxy::Micros(20_000),
        "an older heartbeat that arrived late renewed the last one"
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

/// A proxy that starts has caught up after the digest of a proxy that has caught up itself, not of one that has just
/// started.
#[test]
fn only_a_digest_of_a_caught_up_proxy_ends_catching_up() {
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
    assert!(!caught_up_after(false), "reported as caught up twice");
}
