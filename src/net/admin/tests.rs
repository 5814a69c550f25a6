//! What the door answers.

use super::*;
use crate::fixtures::assert_lines;
use crate::net::downstream::server::Rules;
use meadowproxy::settings::Network;
use meadowproxy::{Config, Micros};
use std::io::{Read, Write};
use std::net::TcpStream;

/// Says what it heard; of the window `late` nothing.
struct Echo;

impl DutiesDoor for Echo {
    fn call(&self, method: &Method, path: &[&str], body: Bytes) -> Later {
        let (late, length) = (path.get(1) == Some(&"late"), body.len());
        let heard = format!("{method} {} {length}", path.join("|"));
        Box::pin(async move {
            tokio::task::yield_now().await;
            if late {
                std::future::pending::<()>().await;
            }
            (StatusCode::ACCEPTED, heard)
        })
    }
}

/// A door's answers, whole, each to the bytes of one call.
async fn answers(duties: Option<Rc<dyn DutiesDoor>>, calls: &[Vec<u8>]) -> Vec<String> {
    let second = Micros(1_000_000);
    let network = Network {
        connect_timeout: second,
        conn_idle: second,
        max_retry_after: second,
        deadlines: vec![second].into(),
    };
    let host = Host::example();
    let server = Server::new(host.clone(), Rules::new(&Config::example(), &network), 4);
    let maintenance = Maintenance::new(host.clone(), None, None);
    let figures = Figures::default();
    let control = Control::new(Keepers {
        host,
        server,
        maintenance,
        peers: None,
        duties,
        figures,
    });
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let at = listener.local_addr().unwrap();
    let door = tokio::task::spawn_local(control.run(listener));
    let calls = calls.to_vec();
    let (tell, told) = tokio::sync::oneshot::channel();
    std::thread::spawn(move || {
        let ask = |call: &Vec<u8>| {
            let mut tcp = TcpStream::connect(at).unwrap();
            tcp.write_all(call).unwrap();
            let mut answer = String::new();
            tcp.read_to_string(&mut answer).unwrap();
            answer
        };
        let _ = tell.send(calls.iter().map(ask).collect());
    });
    let answers = told.await.expect("an answer to each");
    door.abort();
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

/// Whole bodies and decoded paths reach the keepers; all that makes no sense gets one refusal that says why.
#[tokio::test]
#[expect(
    clippy::too_many_lines,
    reason = "issue 32: code that reads as well as it works"
)]
async fn calls_on_windows_reach_their_keepers_or_are_refused() {
    let most = vec![b'x'; MAX_BODY];
    let over = vec![b'x'; MAX_BODY + 1];
    let cases = [
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
    ];
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

#[test]
fn an_id_is_taken_only_from_a_sound_query() {
    for (query, id) in [("who=a-1", "a-1"), ("x=1&who=a%2F%c3%a9+b&y", "a/é b")] {
        assert_eq!(who(Some(query)).as_deref(), Ok(id), "{query}");
    }
    for bad in [
        "",
        "who",
        "who=",
        "whom=a",
        "who=a&who=a",
        "who=%",
        "who=%4",
        "who=%zz",
        "who=%ff",
    ] {
        assert!(who(Some(bad)).is_err(), "{bad}");
    }
    assert!(who(None).is_err());
}
