//! Tests that restart twenty real processes at once while discovery is down, slow or silent, snapshots are unusable or
//! the old processes still listen: each new process is ready within [`READY`].

mod rig;

use rig::snapshot_files::wait_for_first;
use rig::*;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Number of proxies.
const FLEET: usize = 20;
/// Time within which a started process has to be ready. The requirement is for nine processes in ten, here each has to
/// meet it.
const READY: Duration = Duration::from_secs(10);

/// Log text of a process that finds its listen address in use.
const ADDRESS_IN_USE: &str = "is in use by another process, retrying";

/// Configuration with which a proxy is started and restarted.
#[derive(Clone)]
struct ProxyConfig {
    listen: String,
    discovery: SocketAddr,
    known: Vec<String>,
    snapshot_dir: PathBuf,
    settings: String,
}

impl ProxyConfig {
    fn start(&self) -> Proxy {
        let tmp = ("TMPDIR", create_temp_dir().to_str().unwrap().to_string());
        let snapshot_variable = (
            "NODE_SNAPSHOT",
            self.snapshot_dir.to_str().unwrap().to_string(),
        );
        Proxy::with_addresses(
            &self.listen,
            self.discovery,
            &self.known,
            1024,
            &self.settings,
            &[tmp, snapshot_variable],
        )
    }
}

/// Starts all proxies at once. Returns them, and the times from each start to the first response to a readiness check.
fn start_all(configs: &[ProxyConfig]) -> (Vec<Proxy>, Vec<Duration>) {
    let start = |config: ProxyConfig| {
        move || {
            let begun = Instant::now();
            let proxy = config.start();
            let ready = proxy.request("GET /-/ready HTTP/1.1\r\nHost: f\r\n\r\n");
            assert_eq!(ready.status(), 200);
            (proxy, begun.elapsed())
        }
    };
    let threads: Vec<_> = configs
        .iter()
        .cloned()
        .map(|config| std::thread::spawn(start(config)))
        .collect();
    threads.into_iter().map(|t| t.join().unwrap()).unzip()
}

/// Returns the configurations of the fleet. Every second proxy, from the second on, knows no backend, like a proxy that
/// never received an endpoint list.
fn proxy_configs(discovery: SocketAddr, backend: &BackendServer) -> Vec<ProxyConfig> {
    // Free ports on a separate address, so that no other program gets them before the proxies listen.
    let reserved: Vec<TcpListener> = (0..FLEET)
        .map(|_| TcpListener::bind("127.0.77.1:0").unwrap())
        .collect();
    let config = |n: usize| ProxyConfig {
        listen: reserved[n].local_addr().unwrap().to_string(),
        discovery,
        known: (n % 2..1)
            .map(|_| entry("b0", backend.address, "SERVING"))
            .collect(),
        snapshot_dir: create_temp_dir().join("kept"),
        settings: SETTINGS.into(),
    };
    (0..FLEET).map(config).collect()
}

/// Prints the shortest and the longest time until ready, and checks the longest.
fn check_ready(case: &str, mut took: Vec<Duration>) {
    took.sort();
    eprintln!("{case}: ready after {:?} to {:?}", took[0], took[FLEET - 1]);
    assert!(took[FLEET - 1] < READY, "{case}: {took:?}");
}

/// Waits until each proxy serves requests.
fn wait_until_serving(proxies: &[Proxy]) {
    let end = Instant::now() + TEST_TIMEOUT;
    for proxy in proxies {
        while proxy.request(&read_request(3.0)).status() != 200 {
            assert!(
                Instant::now() < end,
                "a proxy does not use the endpoint list that discovery sent"
            );
        }
    }
}

fn backend() -> BackendServer {
    BackendServer::start(|_| ok("x"))
}

/// All processes are killed while discovery refuses connections, and their snapshots are left as they are, truncated,
/// corrupted or made for other settings. The new processes are ready in time, and all serve requests once discovery is
/// available again.
#[test]
fn after_a_kill_with_discovery_down_and_unusable_snapshots_all_are_ready() {
    let (backend, down) = (backend(), RefusingPort::new());
    let mut configs = proxy_configs(down.address(), &backend);
    let (proxies, took) = start_all(&configs);
    check_ready("first start", took);
    let files: Vec<PathBuf> = configs
        .iter()
        .map(|config| wait_for_first(&config.snapshot_dir))
        .collect();
    drop(proxies); // SIGKILL
    for (n, (file, config)) in files.iter().zip(&mut configs).enumerate() {
        let mut bytes = std::fs::read(file).unwrap();
        match n % 4 {
            0 => {}
            1 => bytes.truncate(bytes.len() / 2),
            2 => bytes.iter_mut().skip(14).for_each(|b| *b ^= 0x55),
            _ => config.settings = SETTINGS.replace("\"quota_rps\":500.0", "\"quota_rps\":400.0"),
        }
        std::fs::write(file, bytes).unwrap();
    }
    let (proxies, took) = start_all(&configs);
    check_ready("killed, discovery down", took);
    let causes = ["snapshot taken", "truncated", "checksum", "settings"];
    for (n, proxy) in proxies.iter().enumerate() {
        assert!(
            proxy.startup_log.contains(causes[n % 4]),
            "{}: {}",
            causes[n % 4],
            proxy.startup_log
        );
    }
    let served = |p: &&Proxy| p.request(&read_request(0.3)).status() == 200;
    assert_eq!(
        proxies.iter().filter(served).count(),
        FLEET / 2,
        "proxies that serve requests: expected those that know a backend"
    );
    OverloadedDiscovery::serve(down.listen(), &backend, Duration::ZERO);
    wait_until_serving(&proxies);
}

/// A discovery server that handles one call at a time, each for `each`.
struct OverloadedDiscovery;

impl OverloadedDiscovery {
    fn serve(listener: TcpListener, backend: &BackendServer, each: Duration) {
        let endpoint_list = list(9, true, &[entry("b0", backend.address, "SERVING")]);
        let lock = Arc::new(Mutex::new(()));
        std::thread::spawn(move || {
            for mut tcp in listener.incoming().flatten() {
                let (endpoint_list, lock) = (endpoint_list.clone(), lock.clone());
                std::thread::spawn(move || {
                    let mut reader = BufReader::new(tcp.try_clone().unwrap());
                    while let Some(call) = Message::read(&mut reader) {
                        if call.start_line.contains("wait_ms=")
                            && !call.start_line.contains("wait_ms=0")
                        {
                            std::thread::sleep(Duration::from_secs(1)); // a long poll without changes
                        }
                        let _guard = lock.lock().unwrap();
                        std::thread::sleep(each);
                        let head = format!(
                            "HTTP/1.1 200 X\r\nContent-Length: {}\r\n\r\n",
                            endpoint_list.len()
                        );
                        if tcp.write_all((head + &endpoint_list).as_bytes()).is_err() {
                            return;
                        }
                    }
                });
            }
        });
    }
}

/// All processes are killed while discovery is overloaded: the new processes are ready in time, and receive the endpoint
/// list in the end.
#[test]
fn after_a_kill_with_discovery_overloaded_all_are_ready_and_receive_the_list() {
    let backend = backend();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let configs = proxy_configs(listener.local_addr().unwrap(), &backend);
    OverloadedDiscovery::serve(listener, &backend, Duration::from_millis(100));
    let (proxies, _) = start_all(&configs);
    drop(proxies); // SIGKILL
    let (proxies, took) = start_all(&configs);
    check_ready("killed, discovery overloaded", took);
    wait_until_serving(&proxies);
}

/// The old processes get SIGTERM with a request open, while discovery does not answer. Each new process starts while the
/// old one still listens, is ready once the old one no longer does, and the old one still answers its request.
#[test]
fn beside_old_processes_that_still_listen_all_are_ready() {
    let gate = Arc::new(Gate::default());
    let wait = gate.clone();
    let backend = BackendServer::start(move |_| Reply::Gate(wait.clone()));
    let silent = DiscoveryServer::start();
    let mut configs = proxy_configs(silent.address, &backend);
    // With this deadline the requests stay open until the new processes are ready, also on a slow machine.
    let long_deadline = SETTINGS.replace("\"deadline_us\":3000000", "\"deadline_us\":30000000");
    configs.iter_mut().for_each(|config| {
        (config.known, config.settings) = (
            vec![entry("b0", backend.address, "SERVING")],
            long_deadline.clone(),
        );
    });
    let listen: Vec<String> = configs
        .iter()
        .map(|config| format!("{} is", config.listen))
        .collect();
    let (mut old, _) = start_all(&configs);
    let mut open: Vec<Client> = old.iter().map(Proxy::client).collect();
    open.iter_mut()
        .for_each(|client| client.send(&pay_request(30.0)));
    open.iter().for_each(|_| drop(backend.next_request()));
    // A suspended process listens until its new process has found the address in use, however the machine schedules them.
    old.iter().for_each(Proxy::suspend);
    old.iter().for_each(Proxy::terminate);
    let starting = std::thread::spawn(move || start_all(&configs));
    let in_use = |line: &&str| {
        line.contains(ADDRESS_IN_USE) && listen.iter().any(|at| line.contains(at.as_str()))
    };
    let end = Instant::now() + TEST_TIMEOUT;
    while STARTUP_LOGS.lock().unwrap().lines().filter(in_use).count() < FLEET {
        assert!(
            Instant::now() < end,
            "not every new process found its address in use"
        );
        std::thread::sleep(Duration::from_millis(5));
    }
    old.iter().for_each(Proxy::resume);
    let (new, took) = starting.join().unwrap();
    check_ready("SIGTERM, discovery silent", took);
    assert!(
        new.iter()
            .all(|p| p.startup_log.matches(ADDRESS_IN_USE).count() == 1),
        "a process logged other than once that its address is in use"
    );
    gate.open();
    for (client, old) in open.iter_mut().zip(&mut old) {
        assert_eq!(
            client
                .response()
                .expect("the response to the open request")
                .body,
            b"gated"
        );
        assert!(old.child.wait().unwrap().success());
    }
}

/// Another program keeps the listen address in use: the proxy logs that once when it starts to retry and once when it
/// gives up, and exits with a failure.
#[test]
fn an_address_that_stays_in_use_fails_the_start() {
    let reserved = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = reserved.local_addr().unwrap().to_string();
    let no_discovery: SocketAddr = "127.0.0.1:9".parse().unwrap();
    let begun = Instant::now();
    let out = proxy_command(Some(&config_listening_on(&at, no_discovery)))
        .output()
        .unwrap();
    let text = String::from_utf8_lossy(&out.stderr);
    assert!(!out.status.success() && begun.elapsed() < READY, "{text}");
    assert_eq!(text.matches("retrying").count(), 1, "{text}");
    assert!(
        text.contains(&format!("cannot listen on {at}")) && !text.contains("panicked"),
        "{text}"
    );
}

fn config_listening_on(at: &str, discovery: SocketAddr) -> String {
    rig::config_json(at, discovery, 1024, &[], SETTINGS)
}
