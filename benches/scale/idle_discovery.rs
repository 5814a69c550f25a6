//! A discovery that has no news: it tells its whole list to whoever asks for that, and lets the other calls wait as long as
//! they ask for.

use super::rig::{list, DiscoveryServer};
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::{mpsc, Arc};
use std::time::{Duration, Instant};

const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// The version of the list that proxies start with.
const LIST_VERSION: u64 = 4;

/// A call's answer: when it is due, the version that was asked about, and where it goes.
type PendingAnswer = (Instant, u64, mpsc::Sender<(u16, String)>);

/// Ends when it is dropped.
pub struct IdleDiscovery(Arc<AtomicBool>);

impl Drop for IdleDiscovery {
    fn drop(&mut self) {
        self.0.store(true, Relaxed);
    }
}

impl IdleDiscovery {
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
                    let _ = answer.send((200, list(after, false, &[]))); // who asked may be gone
                }
                std::thread::sleep(POLL_INTERVAL);
            }
        });
        IdleDiscovery(ended)
    }
}

/// A number in a call's target.
fn query_parameter(target: &str, name: &str) -> Option<u64> {
    let query = target.split(' ').nth(1)?.split_once('?')?.1;
    query
        .split('&')
        .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
}
