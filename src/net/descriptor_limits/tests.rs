//! Connection limits of two processes that share one limit of descriptors.

use super::*;

const DESCRIPTORS: usize = 384;

/// While the old process still holds its clients, the new one gets the rest of the capacity, and both together stay
/// within it.
#[test]
fn two_processes_stay_within_the_capacity() {
    let capacity = connection_capacity(DESCRIPTORS);
    let other = ConnectionCounts {
        clients: 128,
        upstreams: 40,
    };
    let limits = ConnectionLimits::for_shared_capacity(DESCRIPTORS, 0, other);
    assert!(limits.clients >= 90 && limits.upstreams >= 16, "{limits:?}");
    for open in [0, 20, 60, 200] {
        let limits = ConnectionLimits::for_shared_capacity(DESCRIPTORS, open, other);
        assert!(
            limits.clients + limits.upstreams + other.clients + other.upstreams <= capacity,
            "{open} open backend connections: {limits:?}"
        );
    }
    let crowded = ConnectionCounts {
        clients: 300,
        upstreams: 300,
    };
    let limits = ConnectionLimits::for_shared_capacity(DESCRIPTORS, 0, crowded);
    assert!(
        limits.clients > 0 && limits.upstreams > 0,
        "a process must always get some connections"
    );
}

/// A reload during a hot restart keeps the shared limits. It used to apply those of a single process, with which both
/// processes together could exceed the proxy's limit.
#[test]
fn a_reload_beside_another_process_keeps_the_shared_limits() {
    const DESCRIPTORS: usize = 256;
    const OWN_UPSTREAMS: usize = 20;
    let other = ConnectionCounts {
        clients: 60,
        upstreams: 30,
    };
    let limits = DescriptorLimits::new(DESCRIPTORS);
    assert!(limits.set_other(Some(other)));
    let shared = limits.connection_limits(OWN_UPSTREAMS);
    limits.set_descriptors(DESCRIPTORS);
    assert_eq!(limits.connection_limits(OWN_UPSTREAMS), shared);
    let all = shared.clients + shared.upstreams + other.clients + other.upstreams;
    assert!(all < DESCRIPTORS, "{all} connections");
    assert!(limits.set_other(None));
    assert_eq!(
        limits.connection_limits(OWN_UPSTREAMS),
        ConnectionLimits::for_single_process(DESCRIPTORS)
    );
}
