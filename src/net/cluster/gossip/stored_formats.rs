//! Test that the response to `GET /peers` keeps its format.

use super::wire::DatagramError;
use super::{GossipDriver, GossipOptions};
use crate::fixtures::assert_lines;
use crate::net::config::GossipSection;
use crate::net::host::Host;
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;

#[tokio::test]
async fn the_gossip_status_keeps_its_json() {
    let tasks = tokio::task::LocalSet::new();
    let status = tasks.run_until(async {
        let own_address: SocketAddr = "127.0.0.1:7000".parse().unwrap();
        let options = GossipOptions {
            section: GossipSection {
                listen: own_address,
                advertise: Some(own_address),
                cluster: "lagos".into(),
                seeds: Vec::new(),
                max_age_s: 5.0,
            },
            settings_hash: Rc::default(),
            fleet_size: 1,
            seed: 1,
            wants_snapshot: false,
        };
        let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
        let driver = GossipDriver::start(Host::example(), socket, options).unwrap();
        driver.step(|membership, now, outputs| {
            membership.reject_datagram(DatagramError::BadMagic, now, outputs);
        });
        driver.status()
    });
    assert_lines("peers-status.txt", &[("alone", status.await)]);
}
