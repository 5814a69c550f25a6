//! Answers to operators' calls.

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

/// Answers with the call itself; never for the window `late`.
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

/// The complete answers of a server, each to the bytes of one call.
async fn answers(fleet: Option<Rc<dyn FleetAdmin>>, calls: &[Vec<u8>]) -> Vec<String> {
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
        let ask = |call: &Vec<u8>| {
            let mut tcp = TcpStream::connect(at).unwrap();
            tcp.write_all(call).unwrap();
            let mut answer = String::new();
            tcp.read_to_string(&mut answer).unwrap();
            answer
        };
        let _ = sender.send(calls.iter().map(ask).collect());
    });
    let answers = received.await.expect("an answer to each");
    running.abort();
    answers
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

/// A call, and the status and text that answer it.
type Case = (Vec<u8>, &'static str, &'static str);

fn carried_out_fleet_calls() -> Vec<Case> {
    let most = vec![b'x'; MAX_BUFFERED_BODY_BYTES];
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
            with_body("PUT /windows/w", &most),
            "202",
            "PUT windows|w 65536",
        ),
    ]
}

fn rejected_fleet_calls() -> Vec<Case> {
    let over = vec![b'x'; MAX_BUFFERED_BODY_BYTES + 1];
    vec![
        (
            with_body("PUT /windows/w", &over),
            "413",
            "a body is at most 64 KiB\n",
        ),
        (
            chunked("PUT /windows/w", &over),
            "413",
            "a body is at most 64 KiB\n",
        ),
        (
            call(
                "PUT /windows/w",
                "Transfer-Encoding: chunked\r\n",
                b"zz\r\n",
            ),
            "400",
            "the body is broken\n",
        ),
        (
            call("PUT /windows/%zz", "", b""),
            "400",
            "the path is badly encoded\n",
        ),
        (
            call("PUT /windows/%ff", "", b""),
            "400",
            "the path is badly encoded\n",
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
            "no answer in time, ask again\n",
        ),
    ]
}

/// Complete bodies and decoded paths are passed on; every malformed call is rejected with its reason.
#[tokio::test]
async fn calls_on_the_fleet_are_passed_on_or_rejected() {
    let cases = [carried_out_fleet_calls(), rejected_fleet_calls()].concat();
    let scope = tokio::task::LocalSet::new();
    scope
        .run_until(async {
            let calls: Vec<Vec<u8>> = cases.iter().map(|c| c.0.clone()).collect();
            let got = answers(Some(Rc::new(Echo)), &calls).await;
            for ((call, status, text), answer) in cases.iter().zip(&got) {
                let line = String::from_utf8_lossy(&call[..call.len().min(60)]).into_owned();
                assert_eq!(answer.split(' ').nth(1), Some(*status), "{line}: {answer}");
                assert_eq!(answer.split("\r\n\r\n").nth(1), Some(*text), "{line}");
            }
            assert!(got[12].contains("allow: PUT, DELETE\r\n"), "{}", got[12]);
            for answer in answers(None, &calls[..3]).await {
                assert!(
                    answer.starts_with("HTTP/1.1 404")
                        && answer.ends_with("\r\n\r\nno duties in the configuration\n")
                );
            }
        })
        .await;
}

#[tokio::test]
async fn calls_that_this_process_answers_keep_their_answers() {
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
    let got = scope.run_until(answers(None, &calls)).await;
    let shown = |answer: &String| {
        let (head, body) = answer.split_once("\r\n\r\n").unwrap();
        let kept = |line: &&str| !line.starts_with("date: ");
        let head: Vec<&str> = head.split("\r\n").filter(kept).collect();
        format!("{} | {body}", head.join(" | "))
    };
    let forms: Vec<_> = lines.into_iter().zip(got.iter().map(shown)).collect();
    assert_lines("control-answers.txt", &forms);
}
