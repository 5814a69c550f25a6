//! Peer verdicts: ejections and readmissions of endpoints by other proxies. They count as evidence, unless this proxy
//! has seen a response or a failure of the endpoint since.

use super::endpoints::{EndpointRecord, LatestPeerVerdict, PeerEjection};
use super::outlier_detection::BASE_EJECTION_S;
use super::Balancer;
use crate::interface::{Micros, PeerVerdict, Time, Verdict};

/// Number of peers whose verdicts eject an endpoint here. One peer may have a broken link of its own; two rarely do.
const EJECTING_PEERS: u32 = 2;

/// An ejection that a peer announced.
struct AnnouncedEjection {
    issued_at: Time,
    duration: Micros,
    consecutive_ejections: i32,
}

impl EndpointRecord {
    /// Drops ejections by peers that are too old, and the previous one of the peer that issued `verdict`.
    fn expire_peer_ejections(&mut self, now: Time, verdict: &PeerVerdict) {
        self.faults_mut().peer_ejections.retain(|ejection| {
            Some(ejection.peer) != verdict.origin && now - ejection.issued_at <= verdict.max_age
        });
    }

    /// Handles a readmission by a peer. Returns whether this readmits the endpoint here.
    fn readmit_on_peer_verdict(&mut self, issued_at: Time) -> bool {
        if !self.is_ejected() || issued_at <= self.faults().last_failure_at {
            return false;
        }
        self.end_ejection();
        self.error_share = 0.0;
        self.consecutive_ejections = 0;
        self.faults_mut().peer_ejections.clear();
        true
    }

    /// Records a peer's ejection. Proxies health-check the endpoint in turn, in the order given by the newest verdict:
    /// the proxy at position n does so n x [`BASE_EJECTION_S`] after the end of the ejection. The result of one check
    /// thus reaches the other proxies before their turn, and a proxy with a broken link does not keep an endpoint
    /// ejected for long.
    fn record_peer_ejection(&mut self, verdict: &PeerVerdict, ejection: &AnnouncedEjection) {
        let issued_at = ejection.issued_at;
        let faults = self.faults_mut();
        if let Some(peer) = verdict.origin {
            faults.peer_ejections.push(PeerEjection { peer, issued_at });
        }
        if issued_at >= faults.latest_peer_verdict.issued_at {
            let check_delay_s = BASE_EJECTION_S * f64::from(verdict.health_check_turn);
            let check_delay = Micros::from_secs_f64(check_delay_s).min(verdict.max_age);
            faults.latest_peer_verdict = LatestPeerVerdict {
                issued_at,
                health_check_at: issued_at + ejection.duration + check_delay,
            };
        }
    }

    /// Ejects the endpoint if enough peers did. If it is already ejected, the time of its next health check follows the
    /// newest verdict. Returns whether the endpoint is newly ejected.
    fn eject_on_peer_verdicts(
        &mut self,
        now: Time,
        verdict: &PeerVerdict,
        ejection: &AnnouncedEjection,
    ) -> bool {
        let was_ejected = self.is_ejected();
        let earlier = self.consecutive_ejections;
        let faults = self.faults_mut();
        let ejecting_peers = EJECTING_PEERS.min(verdict.live_peers) as usize;
        if was_ejected {
            faults.ejected_until = Some(faults.latest_peer_verdict.health_check_at);
            self.consecutive_ejections = earlier.max(ejection.consecutive_ejections);
            return false;
        }
        if faults.peer_ejections.len() < ejecting_peers {
            return false;
        }
        faults.ejected_until = Some(faults.latest_peer_verdict.health_check_at);
        faults.ejected_on_peer_verdicts_at = Some(now);
        self.consecutive_ejections = ejection.consecutive_ejections;
        self.health_checks_passed = 0;
        true
    }
}

impl Balancer {
    /// Applies a verdict that a peer announced.
    pub(super) fn apply_peer_verdict(&mut self, now: Time, verdict: &PeerVerdict) {
        if verdict.age > verdict.max_age {
            return;
        }
        let issued_at = now - verdict.age;
        let Some(record) = self.backends.get_mut(verdict.backend) else {
            return;
        };
        record.expire_peer_ejections(now, verdict);
        match verdict.verdict {
            Verdict::Readmitted => self.readmit_on_peer_verdict(now, verdict, issued_at),
            Verdict::Ejected {
                duration,
                consecutive_ejections,
            } => {
                let ejection = AnnouncedEjection {
                    issued_at,
                    duration,
                    consecutive_ejections: i32::from(consecutive_ejections),
                };
                self.eject_on_peer_verdict(now, verdict, &ejection);
            }
        }
    }

    fn readmit_on_peer_verdict(&mut self, now: Time, verdict: &PeerVerdict, issued_at: Time) {
        let id = verdict.backend;
        let record = self.backends.get_mut(id);
        if record.is_some_and(|record| record.readmit_on_peer_verdict(issued_at)) {
            self.split.due_at = now;
            self.log(now, format!("backend {} readmitted by a peer", id.0));
        }
    }

    fn eject_on_peer_verdict(
        &mut self,
        now: Time,
        verdict: &PeerVerdict,
        ejection: &AnnouncedEjection,
    ) {
        let id = verdict.backend;
        let Some(record) = self.backends.get_mut(id) else {
            return;
        };
        if ejection.issued_at < record.last_response_at.max(record.faults().last_failure_at) {
            return;
        }
        record.record_peer_ejection(verdict, ejection);
        if record.eject_on_peer_verdicts(now, verdict, ejection) {
            let peers = record.faults().peer_ejections.len();
            self.schedule.check_at(now);
            self.backends.suspend(id);
            self.log(
                now,
                format!("backend {} ejected on the verdicts of {peers} peers", id.0),
            );
        }
    }
}
