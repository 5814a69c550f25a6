//! Clients that leave between two turns of the event loop.

use super::*;
use crate::net::observed_stream::ObservedStream;
use meadowproxy::{AttemptNumber, BackendId, EndpointUpdate};

/// The client leaves as the first byte is about to be sent: the kernel knows it before the event loop.
#[tokio::test]
async fn the_first_byte_is_not_sent_for_a_client_that_has_just_left() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let tcp = tokio::net::TcpStream::connect(listener.local_addr().unwrap())
        .await
        .unwrap();
    let (client, peer) = (ObservedStream::new(tcp), listener.accept().unwrap().0);
    let host = Host::example();
    let at = std::net::SocketAddr::from(([127, 0, 0, 1], 9));
    let entry = serde_json::json!({"name": "b", "address": "127.0.0.1:9", "status": "SERVING"});
    let list = crate::net::discovery::endpoint_list::List {
        index: 1,
        is_full: true,
        endpoints: vec![entry],
    };
    let scope = tokio::task::LocalSet::new();
    scope
        .run_until(async {
            host.update_endpoints(EndpointUpdate::Full, &list);
            let PendingRequest { id, answer: _wait } =
                host.example_request_from(Some(client.peer_monitor()));
            assert!(host.may_send(id, AttemptNumber(0), BackendId(0), at));
            drop(peer);
            assert!(!host.may_send(id, AttemptNumber(0), BackendId(0), at));
            let s = host.state.borrow();
            assert!(
                s.requests.is_empty() && s.attempts.is_empty(),
                "no other attempt follows"
            );
        })
        .await;
}
