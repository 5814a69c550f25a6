//! When an attempt may be sent, and which of several outcomes becomes the final answer.

use super::*;
use crate::net::discovery::endpoint_list::List;
use crate::net::host::state::{InFlightAttempt, OpenRequest};
use crate::net::host::PendingRequest;
use meadowproxy::Micros;
use meadowproxy::{ClassId, Config, EndpointUpdate, Idempotency, KeyScope, RequestClass};
use std::time::Duration;
use tokio::sync::oneshot;

const BACKEND: BackendId = BackendId(0);
const FIRST: AttemptNumber = AttemptNumber(0);
const SECOND: AttemptNumber = AttemptNumber(1);
const WINDOW: Micros = Micros(500_000);

fn address_of(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn update(host: &Rc<Host>, index: u64, status: &str, port: u16) {
    let entry =
        serde_json::json!({"name": "b", "address": address_of(port).to_string(), "status": status});
    host.update_endpoints(
        EndpointUpdate::Incremental,
        &List {
            index,
            is_full: false,
            endpoints: vec![entry],
        },
    );
}

async fn with_local_tasks(test: impl std::future::Future<Output = ()>) {
    tokio::task::LocalSet::new().run_until(test).await;
}

/// Adds a request with an idempotency key and one attempt per entry of `sent_ago_us`, sent that many microseconds ago.
/// The balancer does not know the attempts.
fn request_with_attempts(
    host: &Rc<Host>,
    sent_ago_us: &[u64],
) -> (RequestId, oneshot::Receiver<Answer>) {
    let id = host.example_request().id;
    let mut s = host.state.borrow_mut();
    s.attempts.clear();
    let forwarded = s.requests[&id].forwarded.clone();
    let (answer, wait) = oneshot::channel();
    let buffered_deadline = Instant::now() + Duration::from_secs(60);
    let attempts = sent_ago_us.len() as u32;
    let (class, idempotency) = (
        ClassId(0),
        Idempotency::Keyed {
            scope: KeyScope::All,
            window: WINDOW,
        },
    );
    s.requests.insert(
        id,
        OpenRequest {
            forwarded,
            class,
            idempotency,
            first_possible_run_at: None,
            answer,
            buffered_deadline,
            attempts,
        },
    );
    for (number, ago_us) in sent_ago_us.iter().enumerate() {
        let task = tokio::task::spawn_local(std::future::pending::<()>()).abort_handle();
        let in_flight = InFlightAttempt {
            backend: BACKEND,
            sent_at: host.clock.now() - Micros(*ago_us),
            task,
        };
        let key = AttemptKey {
            request: id,
            attempt: AttemptNumber(number as u32),
        };
        s.attempts.insert(key, in_flight);
    }
    drop(s);
    (id, wait)
}

/// Nothing is sent if, while the connection is established, the backend starts to drain or changes its address, or the
/// request ends.
#[tokio::test]
async fn nothing_is_sent_after_the_backend_drains_or_the_request_ends() {
    let host = Host::example();
    with_local_tasks(async {
        update(&host, 1, "SERVING", 9);
        let PendingRequest { id, answer: _wait } = host.example_request();
        assert!(host.may_send(id, FIRST, BACKEND, address_of(9)));
        assert!(
            !host.may_send(RequestId(99), FIRST, BACKEND, address_of(9)),
            "the request has ended"
        );
        update(&host, 2, "SERVING", 10);
        assert!(
            !host.may_send(id, FIRST, BACKEND, address_of(9)),
            "the backend has another address now"
        );
        assert!(host.may_send(id, FIRST, BACKEND, address_of(10)));
        update(&host, 3, "DRAINING", 10);
        assert!(
            !host.may_send(id, FIRST, BACKEND, address_of(10)),
            "the backend is draining"
        );
        host.client_disconnected(id);
        assert!(
            host.state.borrow().attempts.is_empty(),
            "attempts of a disconnected client are still in flight"
        );
    })
    .await;
}

/// Another attempt is sent only while backends still drop duplicates, whichever attempt was dispatched first: an
/// earlier attempt whose connection is established late duplicates a later one that was faster.
#[tokio::test]
async fn nothing_is_sent_once_another_attempt_may_have_been_executed_a_window_ago() {
    let host = Host::example();
    with_local_tasks(async {
        update(&host, 1, "SERVING", 9);
        let (id, _wait) = request_with_attempts(&host, &[0]);
        assert!(
            host.may_send(id, FIRST, BACKEND, address_of(9)),
            "the only attempt is no duplicate"
        );
        let (id, _wait) = request_with_attempts(&host, &[400_000, 0]);
        assert!(
            host.may_send(id, SECOND, BACKEND, address_of(9)),
            "a duplicate is still dropped"
        );
        let (id, _wait) = request_with_attempts(&host, &[500_000, 0]);
        assert!(
            !host.may_send(id, SECOND, BACKEND, address_of(9)),
            "the window is over"
        );
        let (id, _wait) = request_with_attempts(&host, &[900_000, 500_000]);
        assert!(
            !host.may_send(id, FIRST, BACKEND, address_of(9)),
            "the later attempt may have been executed a window ago"
        );
        host.attempt_ended(id, SECOND, AttemptResult::without_response(Outcome::Reset));
        assert!(
            !host.may_send(id, FIRST, BACKEND, address_of(9)),
            "the later attempt still counts after it has ended"
        );
        let (id, _wait) = request_with_attempts(&host, &[900_000, 500_000]);
        host.attempt_ended(
            id,
            SECOND,
            AttemptResult::without_response(Outcome::ConnectFailed),
        );
        assert!(
            host.may_send(id, FIRST, BACKEND, address_of(9)),
            "the later attempt was never executed"
        );
        // The deadline of the last byte counts from now if no other attempt was sent.
        let now = host.clock.now();
        let deadline = host.send_deadline(id, FIRST).unwrap();
        assert!(deadline >= now + WINDOW && deadline < now + WINDOW + WINDOW);
        let (id, _wait) = request_with_attempts(&host, &[400_000, 0]);
        assert!(host.send_deadline(id, SECOND).unwrap() <= host.clock.now() + Micros(100_000));
    })
    .await;
}

/// Settings that change while a request is open can shorten its window or forbid another attempt, but not extend the
/// window.
#[tokio::test]
async fn changed_settings_can_only_shorten_the_window() {
    let host = Host::example();
    with_local_tasks(async {
        update(&host, 1, "SERVING", 9);
        for (idempotency, is_allowed) in [
            (
                Idempotency::Keyed {
                    scope: KeyScope::All,
                    window: Micros(300_000),
                },
                false,
            ),
            (Idempotency::NonIdempotent, false),
            (
                Idempotency::Keyed {
                    scope: KeyScope::All,
                    window: Micros(900_000),
                },
                true,
            ),
            (Idempotency::Idempotent, true),
        ] {
            host.state.borrow_mut().classes = vec![RequestClass {
                idempotency,
                ..Config::example().classes[0].clone()
            }]
            .into();
            let (id, _wait) = request_with_attempts(&host, &[400_000, 0]);
            assert_eq!(
                host.may_send(id, SECOND, BACKEND, address_of(9)),
                is_allowed,
                "{idempotency:?}"
            );
        }
    })
    .await;
}

fn served(text: &'static str) -> AttemptResult {
    let body =
        crate::net::upstream::ServedBody::Buffered(bytes::Bytes::from_static(text.as_bytes()));
    AttemptResult {
        outcome: Outcome::Ok,
        response: Some(ServedResponse {
            headers: hyper::HeaderMap::new(),
            body,
        }),
    }
}

/// Of several outcomes in one turn of the event loop the first becomes the final answer.
#[tokio::test]
async fn the_first_of_several_outcomes_in_one_turn_is_the_answer() {
    use crate::net::upstream::ServedBody;
    let text = |answer: Answer| match answer {
        Answer::Served(ServedResponse {
            body: ServedBody::Buffered(body),
            ..
        }) => String::from_utf8(body.to_vec()).unwrap(),
        _ => "no response".into(),
    };
    let host = Host::example();
    with_local_tasks(async {
        update(&host, 1, "SERVING", 9);
        let (id, mut wait) = request_with_attempts(&host, &[0, 0]);
        host.attempt_ended(id, SECOND, served("second"));
        host.attempt_ended(id, FIRST, served("first"));
        host.deadline_expired(id);
        assert_eq!(
            text(wait.try_recv().unwrap()),
            "second",
            "two responses, then the deadline"
        );
        let (id, mut wait) = request_with_attempts(&host, &[0, 0]);
        host.deadline_expired(id);
        host.attempt_ended(id, FIRST, served("late"));
        assert_eq!(
            text(wait.try_recv().unwrap()),
            "no response",
            "the deadline, then a response"
        );
        let (id, mut wait) = request_with_attempts(&host, &[0, 0]);
        host.client_disconnected(id);
        host.attempt_ended(id, FIRST, served("late"));
        host.deadline_expired(id);
        assert!(
            wait.try_recv().is_err(),
            "a disconnected client got an answer"
        );
        let s = host.state.borrow();
        assert!(
            s.attempts.is_empty() && s.requests.is_empty(),
            "requests or attempts were left over"
        );
    })
    .await;
}
