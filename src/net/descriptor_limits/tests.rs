//! Two processes in one limit.

use super::*;

/// With the clients of the old process still waiting there is room for as many at the new one, where the
/// descriptors allow it, and both together never have more than those.
#[test]
fn two_processes_share_the_room_by_what_each_holds() {
    let room = room(384);
    let held = Held {
        clients: 128,
        upstreams: 40,
    };
    let (clients, upstreams) = parts(room, 0, held);
    assert!(clients >= 90 && upstreams >= 16, "{clients} {upstreams}");
    for open in [0, 20, 60, 200] {
        let (clients, upstreams) = parts(room, open, held);
        assert!(
            clients + upstreams + held.clients + held.upstreams <= room,
            "{open}"
        );
    }
    let (clients, upstreams) = parts(
        room,
        0,
        Held {
            clients: 300,
            upstreams: 300,
        },
    );
    assert!(clients > 0 && upstreams > 0, "never shut out");
}
