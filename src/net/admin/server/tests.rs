//! Responses to the calls of the admin API.

use super::*;
use crate::fixtures::assert_lines;
use crate::net::admin::disabled_backends::DisabledBackends;
use crate::net::admin::prometheus::PrometheusRecorder;
use crate::net::admin::AdminResponseFuture;
use crate::net::downstream::server::{RequestRules, Server};
use crate::net::host::Host;
use meadowproxy::settings::NetworkSettings;
use meadowproxy::{Config, Micros};
use std::io::{Read, Write};
use std::net::TcpStream;

/// A handler whose response describes the call. Calls for the window `late` get no response.
struct Echo;

impl FleetAdmin for Echo {
    fn call(&self, method: &Method, path: &[&str], body: Bytes) -> AdminResponseFuture {
        let is_late = path.get(1) == Some(&"late");
        let echo = format!("{method} {} {}", path.join("|"), body.len());
        Box::pin(async move {
            tokio::task::yield_now().await;
            if is_late {
                std::future::pending::<()>().await;
            }
            (StatusCode::ACCEPTED, echo)
        })
    }
}

/// Starts a server, and returns its complete response to each call.
async fn responses(fleet: Option<Rc<dyn FleetAdmin>>, calls: &[Vec<u8>]) -> Vec<String> {
    let second = Micros(1_000_000);
    let network = NetworkSettings {
        connect_timeout: second,
        conn_idle: second,
        max_retry_after: second,
        deadlines: vec![second].into(),
    };
    let host = Host::example();
    let server = Server::new(
        host.clone(),
        RequestRules::new(&Config::example(), &network),
        4,
    );
    let disabled_backends = DisabledBackends::new(host.clone(), None, None);
    let metrics = PrometheusRecorder::default();
    let admin = AdminServer::new(AdminContext {
        host,
        server,
        disabled_backends,
        gossip: None,
        fleet,
        metrics,
    });
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let at = listener.local_addr().unwrap();
    let running = tokio::task::spawn_local(admin.run(listener));
    let calls = calls.to_vec();
    let (sender, received) = tokio::sync::oneshot::channel();
    std::thread::spawn(move || {
        let send = |call: &Vec<u8>| {
            let mut tcp = TcpStream::connect(at).unwrap();
            tcp.write_all(call).unwrap();
            let mut response = String::new();
            tcp.read_to_string(&mut response).unwrap();
            response
        };
        let _ = sender.send(calls.iter().map(send).collect());
    });
    let responses = received.await.expect("a call got no response");
    running.abort();
    responses
}

fn call(line: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    [
        format!("{line} HTTP/1.1\r\nHost: d\r\n{headers}\r\n").as_bytes(),
        body,
    ]
    .concat()
}

fn with_body(line: &str, body: &[u8]) -> Vec<u8> {
    call(line, &format!("Content-Length: {}\r\n", body.len()), body)
}

fn chunked(line: &str, body: &[u8]) -> Vec<u8> {
    let body = [
        format!("{:x}\r\n", body.len()).as_bytes(),
        body,
        b"\r\n0\r\n\r\n",
    ]
    .concat();
    call(line, "Transfer-Encoding: chunked\r\n", &body)
}

/// A call, and the expected status and body of its response.
type Case = (Vec<u8>, &'static str, &'static str);

fn accepted_fleet_calls() -> Vec<Case> {
    let largest = vec![b'x'; MAX_BUFFERED_BODY_BYTES];
    vec![
        (
            with_body("PUT /windows/a%2Fb%20c+d", b"{}"),
            "202",
            "PUT windows|a/b c+d 2",
        ),
        (
            call("DELETE /windows/w", "", b""),
            "202",
            "DELETE windows|w 0",
        ),
        (
            chunked("POST /windows/w/extend", b"12345"),
            "202",
            "POST windows|w|extend 5",
        ),
        (
            call("POST /windows/w/begin", "", b""),
            "202",
            "POST windows|w|begin 0",
        ),
        (call("GET /windows?x=1", "", b""), "202", "GET windows 0"),
        (call("GET /duties", "", b""), "202", "GET duties 0"),
        (
            with_body("PUT /windows/w", &largest),
            "202",
            "PUT windows|w 65536",
        ),
    ]
}

fn rejected_fleet_calls() -> Vec<Case> {
    let too_large = vec![b'x'; MAX_BUFFERED_BODY_BYTES + 1];
    vec![
        (
            with_body("PUT /windows/w", &too_large),
            "413",
            "the body is larger than 64 KiB\n",
        ),
        (
            chunked("PUT /windows/w", &too_large),
            "413",
            "the body is larger than 64 KiB\n",
        ),
        (
            call(
                "PUT /windows/w",
                "Transfer-Encoding: chunked\r\n",
                b"zz\r\n",
            ),
            "400",
            "the body is malformed or incomplete\n",
        ),
        (
            call("PUT /windows/%zz", "", b""),
            "400",
            "the path is not valid percent-encoded UTF-8\n",
        ),
        (
            call("PUT /windows/%ff", "", b""),
            "400",
            "the path is not valid percent-encoded UTF-8\n",
        ),
        (call("POST /windows/w", "", b""), "405", "wrong method\n"),
        (
            call("GET /windows/late/begin", "", b""),
            "405",
            "wrong method\n",
        ),
        (call("PUT /windows/", "", b""), "404", "no such call\n"),
        (
            call("POST /windows/w/close", "", b""),
            "404",
            "no such call\n",
        ),
        (
            call("PUT /windows/late", "", b""),
            "503",
            "no response from the fleet within 1s, try again\n",
        ),
    ]
}

/// Valid calls are passed to the handler with their complete bodies and decoded paths. Each invalid call is rejected
/// with a reason.
#[tokio::test]
async fn fleet_calls_are_passed_on_or_rejected() {
    let cases = [accepted_fleet_calls(), rejected_fleet_calls()].concat();
    let scope = tokio::task::LocalSet::new();
    scope
        .run_until(async {
            let calls: Vec<Vec<u8>> = cases.iter().map(|c| c.0.clone()).collect();
            let got = responses(Some(Rc::new(Echo)), &calls).await;
            for ((call, status, text), response) in cases.iter().zip(&got) {
                let line = String::from_utf8_lossy(&call[..call.len().min(60)]).into_owned();
                assert_eq!(
                    response.split(' ').nth(1),
                    Some(*status),
                    "{line}: {response}"
                );
                assert_eq!(response.split("\r\n\r\n").nth(1), Some(*text), "{line}");
            }
            assert!(got[12].contains("allow: PUT, DELETE\r\n"), "{}", got[12]);
            for response in responses(None, &calls[..3]).await {
                assert!(
                    response.starts_with("HTTP/1.1 404")
                        && response.ends_with("\r\n\r\nno duties in the configuration\n")
                );
            }
        })
        .await;
}

#[tokio::test]
async fn responses_about_this_process_keep_their_form() {
    let lines = [
        "GET /status",
        "GET /peers",
        "PUT /status",
        "GET /nothing",
        "PUT /maintenance/enter",
        "PUT /maintenance/enter?who=never",
        "PUT /maintenance/exit?who=never",
        "GET /maintenance/enter?who=never",
        "GET /config",
    ];
    let calls = lines.map(|line| call(line, "", b""));
    let scope = tokio::task::LocalSet::new();
    let got = scope.run_until(responses(None, &calls)).await;
    let shown = |response: &String| {
        let (head, body) = response.split_once("\r\n\r\n").unwrap();
        let kept = |line: &&str| !line.starts_with("date: ");
        let head: Vec<&str> = head.split("\r\n").filter(kept).collect();
        format!("{} | {body}", head.join(" | "))
    };
    let forms: Vec<_> = lines.into_iter().zip(got.iter().map(shown)).collect();
    assert_lines("control-answers.txt", &forms);
}
