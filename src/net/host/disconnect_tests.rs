//! Clients that disconnect between two turns of the event loop.

use super::*;
use crate::net::observed_stream::ObservedStream;
use meadowproxy::{AttemptNumber, BackendId, EndpointUpdate};

/// Nothing is sent for a client that disconnects right before the first byte: the kernel is asked, as the event loop
/// has not seen the disconnect yet.
#[tokio::test]
async fn nothing_is_sent_for_a_client_that_has_just_disconnected() {
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
                "the request or an attempt was left over"
            );
        })
        .await;
}
