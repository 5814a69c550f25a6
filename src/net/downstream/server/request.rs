//! One request, from its head to its final answer.

use super::{plain, Outward, Server};
use crate::net::downstream::body::{Broken, Upload};
use crate::net::host::{Answer, Host};
use crate::net::observed_stream::Stream;
use crate::net::upstream::{Call, Coming, Content, Payload};
use crate::net::{strip_hop_by_hop, MAX_BODY};
use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Either, Full};
use hyper::body::Incoming;
use hyper::header::RETRY_AFTER;
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use meadowproxy::{Idempotency, Micros, RequestArrival, RequestId};
use std::pin::pin;
use std::rc::Rc;
use tokio::time::Instant;

impl Server {
    #[expect(
        clippy::too_many_lines,
        reason = "issue 32: code that reads as well as it works"
    )]
    pub(super) async fn proxy(
        self: &Rc<Self>,
        request: Request<Incoming>,
        client: &Stream,
        from: Instant,
    ) -> Result<Response<Outward>, (StatusCode, &'static str)> {
        let rules = self.rules.borrow().clone(); // a request keeps those it came under
        let (head, body) = request.into_parts();
        let mut headers = head.headers;
        let class = head
            .uri
            .path()
            .split('/')
            .nth(1)
            .and_then(|name| self.host.class(name));
        let class = class.ok_or((StatusCode::NOT_FOUND, "no such class\n"))?;
        let bad = |text| (StatusCode::BAD_REQUEST, text);
        if !headers.contains_key("x-correlation-id") {
            return Err(bad("X-Correlation-Id is missing\n"));
        }
        // A class that is taken for safer than the request says would be repeated to its harm.
        let keyed = headers.contains_key("idempotency-key");
        let fits = match rules.classes[class.0].idempotency {
            Idempotency::Idempotent => head.method == Method::GET || head.method == Method::HEAD,
            Idempotency::Keyed { .. } => head.method == Method::POST && keyed,
            Idempotency::NonIdempotent => head.method == Method::POST,
        };
        if !fits {
            return Err(bad(
                "the method or Idempotency-Key does not fit the class\n",
            ));
        }
        let most = rules.deadlines[class.0];
        let left = number(&headers, "x-time-left")
            .map_or(most, Micros::from_secs_f64)
            .min(most);
        let body = receive(Upload::new(body, client.peer(), from), left)
            .await
            .map_err(|broken| match broken {
                Broken::Slow => (
                    StatusCode::REQUEST_TIMEOUT,
                    "the body did not come in time\n",
                ),
                Broken::Malformed => bad("the body is malformed\n"),
            })?;
        // Its time counts from its last byte.
        let time_left = Micros(left.0.saturating_sub(self.host.margin().0));
        let tenant = headers.get("x-account").and_then(|v| v.to_str().ok());
        let arrival = RequestArrival {
            request: RequestId(0),
            class,
            tenant: tenant.and_then(|name| self.host.tenant(name)),
            time_left,
            work_hint: number(&headers, "x-weight-hint").map(|us| Micros(us as u64)),
            client_retry: headers.get("x-repeat").is_some_and(|v| v == "1"),
        };
        strip_hop_by_hop(&mut headers);
        let origin = head.uri.path_and_query().map(|p| p.as_str().parse());
        let uri = origin
            .and_then(Result::ok)
            .ok_or(bad("the target has no path\n"))?;
        let client = Some(client.peer());
        let call = Rc::new(Call {
            method: head.method,
            uri,
            headers,
            body,
            client,
        });
        let (id, answer) = self
            .host
            .request(arrival, &call, rules.classes[class.0].idempotency);
        let mut owed = Owed {
            host: &self.host,
            id,
            open: true,
        };
        let mut answer = pin!(answer);
        let answer = loop {
            let due = self.host.clock.instant(self.host.due(id));
            tokio::select! {
                biased;
                got = answer.as_mut() => break got,
                () = sent(&call.body) => {} // from here on its time runs
                _ = tokio::time::sleep_until(due) => {
                    self.host.deadline(id);
                    break answer.await;
                }
            }
        };
        owed.open = false;
        if let (Payload::Coming(coming), false) =
            (&call.body, matches!(answer, Ok(Answer::Served(_))))
        {
            // A client that is still sending hears the answer only if it is read to its end.
            if let Some(rest) = coming.take() {
                tokio::task::spawn_local(drained(rest));
            }
        }
        Ok(match answer {
            Ok(Answer::Served(served)) => {
                let mut response = Response::new(match served.body {
                    Content::Whole(body) => Either::Left(Full::new(body)),
                    Content::Flow(flow) => Either::Right(flow),
                });
                *response.headers_mut() = served.headers;
                response
            }
            Ok(Answer::Refused(retry_after)) => {
                let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, "refused\n");
                let advice = retry_after.min(rules.max_retry_after).as_secs_f64();
                if let Ok(text) = format!("{advice:.3}").parse() {
                    response.headers_mut().insert(RETRY_AFTER, text);
                }
                response
            }
            Ok(Answer::Failed) => plain(StatusCode::BAD_GATEWAY, "failed\n"),
            Ok(Answer::TimedOut) | Err(_) => plain(StatusCode::GATEWAY_TIMEOUT, "timed out\n"),
        })
    }
}

/// Tells the host when an unanswered request is dropped because its client is gone.
struct Owed<'a> {
    host: &'a Rc<Host>,
    id: RequestId,
    open: bool,
}

impl Drop for Owed<'_> {
    fn drop(&mut self) {
        if self.open {
            self.host.client_gone(self.id);
        }
    }
}

/// A header's number, where it holds a sensible one.
fn number(headers: &HeaderMap, name: &str) -> Option<f64> {
    let text = headers.get(name)?.to_str().ok()?;
    text.trim()
        .parse()
        .ok()
        .filter(|n: &f64| n.is_finite() && *n >= 0.0)
}

/// Takes a body whole, or finds that it is too long for that.
async fn receive(mut upload: Upload, left: Micros) -> Result<Payload, Broken> {
    let mut held = BytesMut::new();
    while upload.length().is_none_or(|n| n <= MAX_BODY as u64) {
        match upload.frame().await {
            None => return Ok(Payload::Whole(held.freeze())),
            Some(frame) => held.extend_from_slice(frame?.data_ref().unwrap_or(&Bytes::new())),
        }
        if held.len() > MAX_BODY {
            break;
        }
    }
    if !held.is_empty() {
        upload.put_back(held.freeze());
    }
    Ok(Payload::Coming(Coming::new(upload, left)))
}

/// Reads a body to its end or its client's, and keeps nothing of it: it may be far larger than the memory.
async fn drained(mut rest: Upload) {
    while let Some(Ok(_)) = rest.frame().await {}
}

/// Until a body that goes out as it comes has gone out.
async fn sent(body: &Payload) {
    match body {
        Payload::Whole(_) => std::future::pending().await,
        Payload::Coming(coming) => coming.sent().await,
    }
}
