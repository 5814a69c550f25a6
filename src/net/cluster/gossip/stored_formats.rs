//! The answer to `GET /peers`.

use super::*;
use crate::fixtures::assert_lines;

#[tokio::test]
async fn the_state_of_sharing_keeps_its_json() {
    let scope = tokio::task::LocalSet::new();
    let status = scope.run_until(async {
        let own: SocketAddr = "127.0.0.1:7000".parse().unwrap();
        let rules = Sharing {
            listen: own,
            advertise: Some(own),
            cluster: "lagos".into(),
            seeds: Vec::new(),
            max_age_s: 5.0,
        };
        let socket = std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
        let host = Host::example();
        let peers = Peers::start(host, socket, rules, Rc::default(), 1, 1, false).unwrap();
        peers.turn(|m, now, out| m.refuse(Refused::Magic, now, out));
        peers.status()
    });
    assert_lines("peers-status.txt", &[("alone", status.await)]);
}
