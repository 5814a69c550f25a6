//! A discovery service whose endpoint list never changes. It answers a call for the whole list at once, and a call for
//! changes with an empty list after the wait that the call asks for.

use super::rig::{list, DiscoveryServer};
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::{mpsc, Arc};
use std::time::{Duration, Instant};

/// How often the thread checks for calls and for answers that are due.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// The version of the list with which proxies start.
const LIST_VERSION: u64 = 4;

/// A delayed answer: when it is due, the version that the call already has, and the channel to send it to.
type PendingAnswer = (Instant, u64, mpsc::Sender<(u16, String)>);

/// A running discovery service; its thread stops after this is dropped.
pub struct IdleDiscovery(Arc<AtomicBool>);

impl Drop for IdleDiscovery {
    fn drop(&mut self) {
        self.0.store(true, Relaxed);
    }
}

impl IdleDiscovery {
    /// Answers the server's calls on a thread.
    pub fn start(server: DiscoveryServer, endpoints: Arc<Vec<String>>) -> IdleDiscovery {
        let ended = Arc::new(AtomicBool::new(false));
        let end = ended.clone();
        std::thread::spawn(move || {
            let mut waiting: Vec<PendingAnswer> = Vec::new();
            while !end.load(Relaxed) {
                while let Some((target, answer)) = server.pending_call() {
                    match query_parameter(&target, "after") {
                        None => drop(answer.send((200, list(LIST_VERSION, true, &endpoints)))),
                        Some(after) => {
                            let wait = Duration::from_millis(
                                query_parameter(&target, "wait_ms").unwrap_or(0),
                            );
                            waiting.push((Instant::now() + wait, after, answer));
                        }
                    }
                }
                let now = Instant::now();
                for (_, after, answer) in waiting.extract_if(.., |(due, ..)| *due <= now) {
                    let _ = answer.send((200, list(after, false, &[]))); // the caller may have gone
                }
                std::thread::sleep(POLL_INTERVAL);
            }
        });
        IdleDiscovery(ended)
    }
}

/// The number that a call's target has as this query parameter.
fn query_parameter(target: &str, name: &str) -> Option<u64> {
    let query = target.split(' ').nth(1)?.split_once('?')?.1;
    query
        .split('&')
        .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
}
