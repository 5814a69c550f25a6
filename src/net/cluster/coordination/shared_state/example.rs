//! An example of the shared state for the workers' tests.

use super::super::clocks::monotonic_now;
use super::super::request_loop::{BackendSnapshot, LoopView};
use super::{
    ConfigDriver, Duty, DutyLease, Effect, EffectQueue, FleetView, MaintenanceState, Relay,
    SharedState, SharedStateParts,
};
use crate::net::cluster::gossip::DatagramSender;
use meadowproxy::fleet::calendar::{Calendar, DisruptionBudget, Rules};
use meadowproxy::fleet::lease;
use meadowproxy::Micros;
use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use tokio::sync::mpsc;

const INCARNATION: u64 = 7;

impl SharedState {
    /// Returns the shared state of a voter that has caught up with the configuration, but not with the calendar, and the
    /// receiver of its effects.
    pub fn example() -> (SharedState, mpsc::Receiver<Effect>) {
        let address = |port| SocketAddr::from(([127, 0, 0, 1], port));
        let own_address = address(9);
        let voters = [9, 10, 11].map(address).to_vec();
        let lease_rules = lease::Rules::new(voters.len(), Micros(1_000_000), 0.01).unwrap();
        let max_age = Micros(5_000_000);
        let calendar = Calendar::new(Rules {
            budget: DisruptionBudget {
                kind_floor: 0.5,
                zone_floor: 0.5,
            },
            slow_start: Micros(1_000_000),
            isolation_timeout: max_age,
        });
        let mut config = ConfigDriver::new(
            lease_rules,
            voters.clone(),
            own_address,
            INCARNATION,
            Default::default(),
        );
        config.replica.assume_up_to_date();
        let view = LoopView {
            backends: Some(Arc::new(BackendSnapshot {
                taken_at: monotonic_now(),
                rows: Vec::new(),
            })),
            open: BTreeMap::new(),
            members: voters[1..].to_vec(),
            config_version: 0,
            file_version: 0,
        };
        let mut fleet_view = FleetView::at_start();
        fleet_view.update(Arc::new(view));
        let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
        let (effects, pending_effects) = mpsc::channel(64);
        let shared = SharedState::new(SharedStateParts {
            calendar_lease: DutyLease::new(
                Duty::Calendar,
                lease_rules,
                voters,
                own_address,
                INCARNATION,
            ),
            config,
            maintenance: MaintenanceState::new(calendar),
            fleet_view,
            effect_queue: EffectQueue::new(effects),
            relay: Relay::new(own_address, INCARNATION, max_age),
            datagrams: Arc::new(DatagramSender::new(socket, [0; 8], own_address)),
            incarnation: INCARNATION,
        });
        (shared, pending_effects)
    }
}
