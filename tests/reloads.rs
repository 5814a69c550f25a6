//! SIGHUP and SIGTERM that coincide with the start, with unusable configuration files, with open requests, with a
//! shutdown or with discovery's responses.

mod rig;

use rig::*;
use std::io::Write;
use std::path::Path;
use std::sync::atomic::Ordering::SeqCst;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Waits until `done` returns true. `what` is the message if that takes too long.
fn until(what: &str, mut done: impl FnMut() -> bool) {
    let end = Instant::now() + TEST_TIMEOUT;
    while !done() {
        assert!(Instant::now() < end, "{what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Creates a named pipe.
fn create_pipe(at: &Path) {
    assert!(std::process::Command::new("mkfifo")
        .arg(at)
        .status()
        .unwrap()
        .success());
}

/// A GET of the class `log`, which the configuration at start does not contain.
fn log(left: f64) -> String {
    read_request(left).replace("GET /read", "GET /log")
}

/// The configuration `text` with an additional class.
fn with_class(text: &str, name: &str) -> String {
    let class = format!(
        r#"{{"name":"{name}","aim_us":900000,"deadline_us":3000000,"effect":"free","gain":1.0,"late_worth":0.5}},"#
    );
    text.replacen(
        r#"{"name":"read""#,
        &format!(r#"{class}{{"name":"read""#),
        1,
    )
}

/// SIGHUP arrives while the proxy reads its configuration, from a pipe without data: the proxy starts, handles the
/// signal once it runs, and on that reload rejects the pipe instead of waiting for it.
#[test]
fn a_signal_before_the_configuration_is_read_does_not_end_the_process() {
    let at = create_temp_dir().join("config.json");
    create_pipe(&at);
    let mut child = proxy_command(None).env("NODE_CONFIG", &at).spawn().unwrap();
    // Opening for writing waits until the program has opened it for reading.
    let mut file = std::fs::OpenOptions::new().write(true).open(&at).unwrap();
    let kill = std::process::Command::new("kill")
        .args(["-HUP", &child.id().to_string()])
        .status();
    assert!(kill.unwrap().success());
    let config = config_json(
        "127.0.0.1:0",
        "127.0.0.1:9".parse().unwrap(),
        1024,
        &[],
        SETTINGS,
    );
    file.write_all(config.as_bytes())
        .expect("the proxy exited before it had read its configuration");
    drop(file);
    let mut lines = std::io::BufRead::lines(std::io::BufReader::new(child.stderr.take().unwrap()));
    let mut next_line = |words: &str| {
        lines
            .by_ref()
            .map_while(Result::ok)
            .find(|line| line.contains(words))
    };
    let line = next_line("listens on").expect("the proxy exited before it listened");
    let address = line
        .split("listens on ")
        .nth(1)
        .unwrap()
        .split(',')
        .next()
        .unwrap()
        .parse()
        .unwrap();
    let line = next_line("configuration not taken")
        .expect("the proxy exited before it handled the signal");
    assert!(line.contains("not a regular file"), "{line}");
    assert_eq!(
        Client::connect(address)
            .request("GET /-/ready HTTP/1.1\r\nHost: f\r\n\r\n")
            .status(),
        200
    );
    child.kill().unwrap();
    child.wait().unwrap();
}

/// An unusable file at the configuration's path: each SIGHUP logs one line with the reason and changes nothing.
#[test]
fn an_unusable_configuration_file_is_logged_once_and_changes_nothing() {
    let backend = BackendServer::start(|_| ok("x"));
    let proxy = Proxy::start(&[entry("b0", backend.address, "SERVING")]);
    let (at, valid) = (
        &proxy.config_path,
        std::fs::read(&proxy.config_path).unwrap(),
    );
    let remove_permissions = |at: &Path| {
        std::fs::write(at, &valid).unwrap();
        std::fs::set_permissions(at, std::os::unix::fs::PermissionsExt::from_mode(0o000)).unwrap();
    };
    // Root can read the file despite its mode; then a truncated file is used instead.
    let unreadable = |at: &Path| {
        remove_permissions(at);
        if std::fs::read(at).is_ok() {
            std::fs::write(at, &valid[..valid.len() / 2]).unwrap();
        }
    };
    let sparse = |at: &Path| std::fs::File::create(at).unwrap().set_len(1 << 40).unwrap();
    let padded =
        |at: &Path| std::fs::write(at, [&valid[..], &vec![b' '; 64 << 20]].concat()).unwrap();
    let dir = |at: &Path| std::fs::create_dir(at).unwrap();
    let bytes = |at: &Path| std::fs::write(at, [0xff, 0xfe, 0]).unwrap();
    let nested = |at: &Path| std::fs::write(at, vec![b'['; 1 << 20]).unwrap();
    let nothing = |_: &Path| {};
    let truncated = |at: &Path| std::fs::write(at, &valid[..valid.len() - 1]).unwrap();
    let cases = [
        ("cannot read", &nothing as &dyn Fn(&Path)),
        ("", &unreadable),
        ("over 67108864 bytes", &padded),
        ("", &sparse),
        ("not a regular file", &dir),
        ("not a regular file", &create_pipe),
        ("cannot read", &bytes),
        ("", &nested),
        ("", &truncated),
    ];
    for (n, (cause, create)) in cases.iter().enumerate() {
        let _ = std::fs::remove_file(at);
        let _ = std::fs::remove_dir(at);
        create(at);
        proxy.signal("-HUP");
        until("the signal was not handled in time", || {
            proxy.log_count("configuration not taken") == n + 1
        });
        let line = proxy.log_lines("configuration not taken").pop().unwrap();
        assert!(line.contains(cause), "{cause}: {line}");
        assert_eq!(proxy.request(&read_request(3.0)).status(), 200);
    }
    let _ = std::fs::remove_file(at);
    let longest = vec![b' '; (64 << 20) - valid.len()];
    for (n, text) in [&valid, &[&valid[..], &longest].concat()]
        .into_iter()
        .enumerate()
    {
        std::fs::write(at, text).unwrap();
        proxy.signal("-HUP");
        until("a valid one was not applied", || {
            proxy.log_count("configuration taken") == n + 1
        });
    }
    assert_eq!(proxy.log_count("configuration not taken"), cases.len());
}

/// The file is overwritten several times in a row, each time with a signal: a signal may find it half written, but the
/// last version is applied, and requests that were open keep the class that they arrived with.
#[test]
fn after_many_reloads_in_a_row_the_last_one_applies() {
    let gate = Arc::new(Gate::default());
    let wait = gate.clone();
    let backend = BackendServer::start(move |n| {
        if n == 0 {
            Reply::Gate(wait.clone())
        } else {
            ok("x")
        }
    });
    let proxy = Proxy::start(&[entry("b0", backend.address, "SERVING")]);
    let text = std::fs::read_to_string(&proxy.config_path).unwrap();
    let mut open = proxy.client();
    open.send(&pay_request(3.0));
    backend.next_request();
    for n in 0..6 {
        std::fs::write(&proxy.config_path, with_class(&text, &format!("c{n}"))).unwrap();
        proxy.signal("-HUP");
    }
    std::fs::write(
        &proxy.config_path,
        with_class(&text, "log").replace(r#""name":"pay""#, r#""name":"owe""#),
    )
    .unwrap();
    proxy.signal("-HUP");
    until("last not applied", || proxy.log_count("new log") == 1);
    gate.open();
    assert_eq!(open.response().expect("no response").body, b"gated");
    assert_eq!(proxy.request(&log(3.0)).status(), 200);
    assert_eq!(proxy.request(&pay_request(3.0)).status(), 404);
    assert_eq!(
        proxy
            .request(&read_request(3.0).replace("GET /read", "GET /c5"))
            .status(),
        404
    );
}

/// A configuration that takes long to read does not block requests: a client gets many responses between the signal and
/// the log line of the reload.
#[test]
fn requests_are_served_while_a_long_configuration_is_read() {
    let tenants: Vec<String> = (0..60_000)
        .map(|n| format!(r#"{{"name":"tenant-{n}","quota_rps":1.5}}"#))
        .collect();
    let settings = SETTINGS.replace(
        r#"{"name":"north","quota_rps":500.0}"#,
        &format!(
            r#"{},{{"name":"north","quota_rps":500.0}}"#,
            tenants.join(",")
        ),
    );
    let backend = BackendServer::start(|_| ok("x"));
    let proxy = Proxy::with_settings(&[entry("b0", backend.address, "SERVING")], 1024, &settings);
    let text = std::fs::read_to_string(&proxy.config_path).unwrap();
    std::fs::write(
        &proxy.config_path,
        text.replace("\"tenant-7\"", "\"tenant-new\""),
    )
    .unwrap();
    let mut client = proxy.client();
    client.request(&read_request(3.0));
    proxy.signal("-HUP");
    let mut answered = 0;
    while proxy.log_count("configuration taken") == 0 {
        assert_eq!(client.request(&read_request(3.0)).status(), 200);
        answered += 1;
    }
    assert!(
        answered > 10,
        "only {answered} responses while the configuration was read"
    );
    let line = proxy.log_lines("configuration taken").pop().unwrap();
    let figure = |name: &str| -> f64 {
        line.split(name)
            .nth(1)
            .unwrap()
            .split(' ')
            .next()
            .unwrap()
            .parse()
            .unwrap()
    };
    assert!(
        figure("step_us=") / 1e3 < figure("read_ms=") / 4.0,
        "the configuration was read on the event loop: {line}"
    );
}

/// Signals during a shutdown: neither a second SIGTERM, nor SIGINT, nor a reload of a valid or invalid configuration
/// loses the response to an open request.
#[test]
fn signals_during_the_shutdown_change_nothing() {
    let gate = Arc::new(Gate::default());
    let wait = gate.clone();
    let backend = BackendServer::start(move |_| Reply::Gate(wait.clone()));
    let mut proxy = Proxy::with_control(&[entry("b0", backend.address, "SERVING")], SETTINGS, &[]);
    let mut open = proxy.client();
    open.send(&pay_request(3.0));
    backend.next_request();
    proxy.terminate();
    until("no shutdown", || proxy.log_count("stopping") == 1);
    let text = std::fs::read_to_string(&proxy.config_path).unwrap();
    let shorter = text.replace("\"deadline_us\":3000000", "\"deadline_us\":950000");
    for (n, text) in [&text[..text.len() / 2], &shorter, "", &text]
        .iter()
        .enumerate()
    {
        std::fs::write(&proxy.config_path, text).unwrap();
        proxy.signal("-HUP");
        until("the signal was not handled in time", || {
            proxy.log_count("configuration") == n + 1
        });
        proxy.signal("-TERM");
        proxy.signal("-INT");
    }
    assert_eq!(proxy.log_count("configuration taken"), 2);
    gate.open();
    assert_eq!(open.response().expect("no response").body, b"gated");
    assert!(proxy.child.wait().unwrap().success());
    assert_eq!(proxy.log_count("stopping"), 1);
}

/// A reload lowers limits below the number of open requests: these are still served, and idle connections are closed.
#[test]
fn lowered_limits_end_no_open_request() {
    let gate = Arc::new(Gate::default());
    let wait = gate.clone();
    let backend = BackendServer::start(move |_| Reply::Gate(wait.clone()));
    let proxy = Proxy::start(&[entry("b0", backend.address, "SERVING")]);
    let mut open: Vec<Client> = (0..4).map(|_| proxy.client()).collect();
    open.iter_mut()
        .for_each(|client| client.send(&pay_request(3.0)));
    (0..4).for_each(|_| drop(backend.next_request()));
    let text = std::fs::read_to_string(&proxy.config_path).unwrap();
    let text = text
        .replace("\"sockets\":1024", "\"sockets\":68")
        .replace(r#"{"name":"north","quota_rps":500.0}"#, "");
    std::fs::write(
        &proxy.config_path,
        text.replace("\"max_attempts\":4", "\"max_attempts\":1"),
    )
    .unwrap();
    proxy.signal("-HUP");
    until("no reload", || proxy.log_count("configuration taken") == 1);
    gate.open();
    for client in &mut open {
        assert_eq!(client.response().expect("no response").body, b"gated");
    }
    let named = read_request(3.0).replace("\r\n\r\n", "\r\nX-Account: north\r\n\r\n");
    assert_eq!(
        proxy.request(&named).status(),
        200,
        "a removed tenant is treated as an unknown one"
    );
}

/// A request is waiting for a backend when SIGTERM arrives. An endpoint list that arrives during the shutdown, with a
/// serving and a draining backend, is applied, and the request is served.
#[test]
fn an_endpoint_list_during_the_shutdown_is_applied() {
    let (drained, new) = (
        BackendServer::start(|_| ok("drained")),
        BackendServer::start(|_| ok("new")),
    );
    let mut proxy = Proxy::start(&[]);
    let mut open = proxy.client();
    open.send(&pay_request(3.0));
    let (_, answer) = proxy.discovery.call();
    proxy.terminate();
    until("no shutdown", || proxy.log_count("stopping") == 1);
    let endpoints = [
        entry("b0", drained.address, "DRAINING"),
        entry("b1", new.address, "SERVING"),
    ];
    answer.send((200, list(9, true, &endpoints))).unwrap();
    assert_eq!(open.response().expect("no response").body, b"new");
    assert!(proxy.child.wait().unwrap().success());
    assert_eq!(drained.request_count(), 0);
}

/// A reload changes discovery's address while a response from the old address is in transit. If that response arrives
/// after the new address's list, it is ignored if it is older and applied if it is newer. The address then changes
/// back.
#[test]
fn a_response_that_crosses_a_move_of_discovery_is_applied_if_newer() {
    let (old, new) = (
        BackendServer::start(|_| ok("old")),
        BackendServer::start(|_| ok("new")),
    );
    let at = |old_is: &str, new_is: &str| {
        [
            entry("b0", old.address, old_is),
            entry("b1", new.address, new_is),
        ]
    };
    let proxy = Proxy::start(&[entry("b0", old.address, "SERVING")]);
    let text = std::fs::read_to_string(&proxy.config_path).unwrap();
    let (first, second) = (
        proxy.discovery.address.to_string(),
        DiscoveryServer::start(),
    );
    let move_to = |to: &str, n: usize| {
        std::fs::write(&proxy.config_path, text.replace(&first, to)).unwrap();
        proxy.signal("-HUP");
        until("no reload", || proxy.log_count("configuration taken") == n);
    };
    let (_, answer) = proxy.discovery.call();
    answer
        .send((200, list(5, true, &[entry("b0", old.address, "SERVING")])))
        .unwrap();
    let (_, older) = proxy.discovery.call();
    move_to(&second.address.to_string(), 1);
    second
        .call()
        .1
        .send((200, list(9, true, &at("DRAINING", "SERVING"))))
        .unwrap();
    let (target, newer) = second.call(); // by now the list is applied
    assert!(target.contains("after=9&"), "{target}");
    older
        .send((200, list(7, true, &[entry("b0", old.address, "SERVING")])))
        .unwrap();
    until("the response was not read", || {
        proxy.discovery.closed_connections.load(SeqCst) == 1
    });
    let before = old.request_count();
    let only = |body: &[u8]| (0..20).all(|_| proxy.request(&pay_request(3.0)).body == body);
    assert!(
        only(b"new"),
        "an older response put a draining backend back into service"
    );
    assert_eq!(old.request_count(), before);
    move_to(&first, 2);
    let (target, _silent) = proxy.discovery.call();
    assert_eq!(
        target, "GET /api/targets HTTP/1.1",
        "the whole list must be requested at the current address"
    );
    newer
        .send((200, list(12, true, &at("SERVING", "DRAINING"))))
        .unwrap();
    until("a newer response was dropped", || {
        proxy.log_count("answered a call late, with 12") == 1
    });
    assert!(only(b"old"));
}
